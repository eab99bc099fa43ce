#pragma once

#include <standins/standintable.h>
#include <storage/tableservice.h>

#include <deque>
#include <functional>

/// Simulated outcome of one call to the table.
enum class TableCallOutcome {
    Answered,
    RequestLost, ///< Has no effect and gets no answer.
    ResponseLost, ///< Takes effect but gets no answer.
    CommitDelayed, ///< Gets no answer; takes effect when `applyDelayedCommits` is called.
};

/// An in-memory table. Calls get the outcomes in `callOutcomes` in order; further calls are
/// answered.
class FakeTable : public Storage::TableService
{
public:
    auto read(const std::string &key, RowCallback done) -> void override
    {
        if (nextOutcome() != TableCallOutcome::Answered) {
            done(tl::unexpected(Storage::TableError::Unavailable));
            return;
        }
        const auto rows = table.scan(key, key + std::string(1, '\0'), 1);
        done(rows.empty() ? Storage::TableRow{key, nullptr, 0} : rows.front());
    }

    auto scan(const std::string &first, const std::string &last, size_t limit, RowsCallback done)
        -> void override
    {
        if (nextOutcome() == TableCallOutcome::Answered)
            done(table.scan(first, last, limit));
        else
            done(tl::unexpected(Storage::TableError::Unavailable));
    }

    auto commit(const Storage::TableTransaction &transaction, CommitCallback done) -> void override
    {
        const TableCallOutcome callOutcome = nextOutcome();
        if (callOutcome == TableCallOutcome::Answered) {
            if (table.commit(transaction))
                done({});
            else
                done(tl::unexpected(Storage::TableError::Conflict));
            return;
        }
        if (callOutcome == TableCallOutcome::ResponseLost)
            table.commit(transaction);
        if (callOutcome == TableCallOutcome::CommitDelayed)
            m_delayedCommits.push_back(transaction);
        done(tl::unexpected(Storage::TableError::Unavailable));
    }

    auto applyDelayedCommits() -> void
    {
        for (const auto &transaction : std::exchange(m_delayedCommits, {}))
            table.commit(transaction);
    }

    StandIns::StandInTable table;
    std::deque<TableCallOutcome> callOutcomes;

private:
    auto nextOutcome() -> TableCallOutcome
    {
        if (callOutcomes.empty())
            return TableCallOutcome::Answered;
        const TableCallOutcome callOutcome = callOutcomes.front();
        callOutcomes.pop_front();
        return callOutcome;
    }

    std::vector<Storage::TableTransaction> m_delayedCommits;
};
