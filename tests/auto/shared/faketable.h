#pragma once

#include <standins/standintable.h>
#include <storage/tableservice.h>

#include <deque>
#include <functional>

/// What becomes of one call to the table.
enum class TableFate {
    Answered,
    LostBefore, ///< No effect, no answer.
    LostAfter, ///< Takes effect, no answer.
    LostLate, ///< No answer; takes effect when `landLate` is called.
};

/// A table in memory whose calls can be given a fate each, in order; later ones are answered.
class FakeTable : public Storage::TableService
{
public:
    auto read(const std::string &key, RowCallback done) -> void override
    {
        if (nextFate() != TableFate::Answered) {
            done(tl::unexpected(Storage::TableError::Unavailable));
            return;
        }
        const auto rows = table.scan(key, key + std::string(1, '\0'), 1);
        done(rows.empty() ? Storage::TableRow{key, nullptr, 0} : rows.front());
    }

    auto scan(const std::string &first, const std::string &last, size_t limit, RowsCallback done)
        -> void override
    {
        if (nextFate() == TableFate::Answered)
            done(table.scan(first, last, limit));
        else
            done(tl::unexpected(Storage::TableError::Unavailable));
    }

    auto commit(const Storage::TableTransaction &transaction, CommitCallback done) -> void override
    {
        const TableFate fate = nextFate();
        if (fate == TableFate::Answered) {
            if (table.commit(transaction))
                done({});
            else
                done(tl::unexpected(Storage::TableError::Conflict));
            return;
        }
        if (fate == TableFate::LostAfter)
            table.commit(transaction);
        if (fate == TableFate::LostLate)
            m_late.push_back(transaction);
        done(tl::unexpected(Storage::TableError::Unavailable));
    }

    auto landLate() -> void
    {
        for (const auto &transaction : std::exchange(m_late, {}))
            table.commit(transaction);
    }

    StandIns::StandInTable table;
    std::deque<TableFate> fates;

private:
    auto nextFate() -> TableFate
    {
        if (fates.empty())
            return TableFate::Answered;
        const TableFate fate = fates.front();
        fates.pop_front();
        return fate;
    }

    std::vector<Storage::TableTransaction> m_late;
};
