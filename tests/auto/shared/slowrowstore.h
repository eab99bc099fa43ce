#pragma once

#include <gateway/rowstore.h>
#include <net/scheduler.h>

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

/// A store with one table. A test sets how long answers take or that none are sent.
class SlowRowStore : public Gateway::RowStore
{
public:
    explicit SlowRowStore(Net::Scheduler &scheduler)
        : m_scheduler(scheduler)
    { }

    std::chrono::milliseconds answerTime{4}; ///< For answers to later queries.
    /// Transfer time of an answer with rows that has the link to itself; concurrent answers share
    /// the link.
    std::chrono::milliseconds transferTime{0};
    std::chrono::milliseconds queryTime{0}; ///< Until a later query for changes reaches the store.
    bool dropsQueries = false; ///< Later queries get no answer and time out in the client.
    bool isHistoryGone = false; ///< Queries for changes fail with `HistoryGone`.

    auto put(const std::string &key, const std::string &value) -> std::uint64_t
    {
        m_rows[key] = {key, value, {m_era, ++m_version}, false};
        m_writtenAt[m_scheduler.now()] = m_version;
        m_history.push_back(m_rows[key]);
        answerAllLongPolls();
        return m_version;
    }
    auto eraseRow(const std::string &key) -> std::uint64_t
    {
        m_rows.erase(key);
        m_history.push_back({key, {}, {m_era, ++m_version}, true});
        m_writtenAt[m_scheduler.now()] = m_version;
        answerAllLongPolls();
        return m_version;
    }
    /// Returns to the state of version `number`; later versions are given out again. Answers that
    /// are under way still arrive.
    auto restoreCopy(std::uint64_t number) -> void
    {
        m_endedEras.push_back({m_scheduler.now(), m_rows, m_writtenAt});
        m_era = Utils::StoreEra(static_cast<std::uint64_t>(m_era) + 1);
        m_version = std::min(m_version, number);
        std::erase_if(m_history,
                      [this](const auto &row) { return row.version.number > m_version; });
        std::erase_if(m_writtenAt, [this](const auto &item) { return item.second > m_version; });
        m_rows.clear();
        for (Gateway::Row &row : m_history) {
            row.version.era = m_era;
            if (row.isRemoved)
                m_rows.erase(row.key);
            else
                m_rows[row.key] = row;
        }
        for (const auto &[id, poll] : std::exchange(m_longPolls, {}))
            poll.done(tl::unexpected(Gateway::StoreError::Unavailable));
    }
    /// The answers that are being transferred never arrive.
    auto stallTransfers() -> void
    {
        for (const Transfer &transfer : std::exchange(m_transfers, {}))
            m_abandoned.insert(transfer.call);
    }
    auto version() const -> Utils::StoreVersion { return {m_era, m_version}; }
    /// The rows that were written before `at` and not again in the era that was in force then.
    auto rowsBefore(Utils::TimePoint at) const -> std::vector<Gateway::Row>
    {
        const auto ended = std::find_if(m_endedEras.begin(), m_endedEras.end(),
                                        [at](const EndedEra &era) { return era.endedAt >= at; });
        const auto &rows = ended == m_endedEras.end() ? m_rows : ended->rows;
        const auto &writtenAt = ended == m_endedEras.end() ? m_writtenAt : ended->writtenAt;
        const auto after = writtenAt.lower_bound(at);
        const auto newest = after == writtenAt.begin() ? 0 : std::prev(after)->second;
        std::vector<Gateway::Row> result;
        for (const auto &[key, row] : rows) {
            if (row.version.number <= newest)
                result.push_back(row);
        }
        return result;
    }
    auto rows() const -> const std::map<std::string, Gateway::Row> & { return m_rows; }
    auto calls() const -> int { return static_cast<int>(m_calls); }

    auto list(const std::string &, const std::string &from, ProgressCallback progress,
              RowsCallback done) -> CallId override
    {
        const CallId call = ++m_calls;
        if (dropsQueries) {
            failAfterTimeout(call, std::chrono::milliseconds(0), std::move(done));
            return call;
        }
        Gateway::RowSet set;
        for (auto it = m_rows.lower_bound(from); it != m_rows.end(); ++it)
            set.rows.push_back(it->second);
        set.version = version();
        answer(call, std::move(set), std::move(progress), std::move(done));
        return call;
    }

    auto changes(const std::string &, const Utils::StoreVersion &after,
                 std::chrono::milliseconds wait, ProgressCallback progress, RowsCallback done)
        -> CallId override
    {
        const CallId call = ++m_calls;
        if (dropsQueries)
            failAfterTimeout(call, wait, std::move(done));
        else if (queryTime == std::chrono::milliseconds(0))
            answerQuery(call, after, wait, std::move(progress), std::move(done));
        else
            m_scheduler.callAfter(
                queryTime,
                [this, call, after, wait, progress = std::move(progress), done = std::move(done)] {
                    if (!isAbandoned(call))
                        answerQuery(call, after, wait, progress, done);
                });
        return call;
    }

    auto abandon(CallId call) -> void override
    {
        m_abandoned.insert(call);
        m_longPolls.erase(call);
        std::erase_if(m_transfers,
                      [call](const Transfer &transfer) { return transfer.call == call; });
    }

    auto write(const std::string &, const std::string &, const Utils::StoreVersion &,
               const std::string &, WriteCallback) -> void override
    { }
    auto remove(const std::string &, const std::string &, const Utils::StoreVersion &,
                WriteCallback) -> void override
    { }

private:
    static constexpr std::chrono::milliseconds transferStep{5};

    /// The rows when an era ended, and when each of its versions was written.
    struct EndedEra
    {
        Utils::TimePoint endedAt;
        std::map<std::string, Gateway::Row> rows;
        std::map<Utils::TimePoint, std::uint64_t> writtenAt;
    };

    struct LongPoll
    {
        std::uint64_t after = 0;
        ProgressCallback progress;
        RowsCallback done;
    };

    struct Transfer
    {
        CallId call = 0;
        Utils::Duration remaining;
        ProgressCallback progress;
        std::function<void()> deliver;
    };

    auto answerQuery(CallId call, const Utils::StoreVersion &after, std::chrono::milliseconds wait,
                     ProgressCallback progress, RowsCallback done) -> void
    {
        if (isHistoryGone || after.number > m_version) {
            m_scheduler.callAfter(answerTime, [this, call, done = std::move(done)] {
                if (!isAbandoned(call))
                    done(tl::unexpected(Gateway::StoreError::HistoryGone));
            });
            return;
        }
        if (m_version > after.number)
            return answer(call, changesAfter(after.number), std::move(progress), std::move(done));
        m_longPolls[call] = {after.number, std::move(progress), std::move(done)};
        m_scheduler.callAfter(wait, [this, call] { answerLongPoll(call); });
    }

    auto changesAfter(std::uint64_t after) const -> Gateway::RowSet
    {
        Gateway::RowSet set;
        for (const Gateway::Row &row : m_history) {
            if (row.version.number > after)
                set.rows.push_back(row);
        }
        set.version = version();
        return set;
    }

    auto isAbandoned(CallId call) const -> bool { return m_abandoned.count(call) > 0; }

    auto answer(CallId call, Gateway::RowSet set, ProgressCallback progress, RowsCallback done)
        -> void
    {
        const auto transfer = set.rows.empty() ? std::chrono::milliseconds(0) : transferTime;
        m_scheduler.callAfter(
            answerTime,
            [this, call, transfer, set = std::move(set), progress = std::move(progress),
             done = std::move(done)] {
                if (isAbandoned(call))
                    return;
                if (transfer == std::chrono::milliseconds(0))
                    return done(set);
                m_transfers.push_back({call, transfer, progress, [set, done] { done(set); }});
                if (m_transfers.size() == 1)
                    m_scheduler.callAfter(transferStep, [this] { advanceTransfers(); });
            });
    }

    /// Advances each pending answer by its share of the link.
    auto advanceTransfers() -> void
    {
        const auto share = Utils::Duration(transferStep) / std::max<size_t>(m_transfers.size(), 1);
        std::vector<std::function<void()>> arrived;
        std::vector<ProgressCallback> progressed;
        for (auto it = m_transfers.begin(); it != m_transfers.end();) {
            it->remaining -= share;
            if (it->remaining > Utils::Duration::zero()) {
                if (it->progress)
                    progressed.push_back(it->progress);
                ++it;
                continue;
            }
            arrived.push_back(std::move(it->deliver));
            it = m_transfers.erase(it);
        }
        // Any of these may abandon other calls.
        for (const auto &progress : progressed)
            progress();
        if (!m_transfers.empty())
            m_scheduler.callAfter(transferStep, [this] { advanceTransfers(); });
        for (const auto &deliver : arrived)
            deliver();
    }

    /// Fails the call after the client's timeout, as it gets no answer.
    auto failAfterTimeout(CallId call, std::chrono::milliseconds wait, RowsCallback done) -> void
    {
        constexpr std::chrono::milliseconds clientTimeout(1500);
        m_scheduler.callAfter(wait + clientTimeout, [this, call, done = std::move(done)] {
            if (!isAbandoned(call))
                done(tl::unexpected(Gateway::StoreError::Unavailable));
        });
    }

    auto answerLongPoll(CallId call) -> void
    {
        auto node = m_longPolls.extract(call);
        if (!node.empty())
            answer(call, changesAfter(node.mapped().after), std::move(node.mapped().progress),
                   std::move(node.mapped().done));
    }

    auto answerAllLongPolls() -> void
    {
        while (!m_longPolls.empty())
            answerLongPoll(m_longPolls.begin()->first);
    }

    Net::Scheduler &m_scheduler;
    Utils::StoreEra m_era{1};
    std::uint64_t m_version = 0;
    std::map<std::string, Gateway::Row> m_rows;
    std::vector<Gateway::Row> m_history;
    std::map<Utils::TimePoint, std::uint64_t> m_writtenAt;
    std::vector<EndedEra> m_endedEras;
    std::map<CallId, LongPoll> m_longPolls;
    std::set<CallId> m_abandoned;
    std::vector<Transfer> m_transfers; ///< Answers being transferred.
    CallId m_calls = 0;
};
