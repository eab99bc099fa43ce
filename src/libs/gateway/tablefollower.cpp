#include "tablefollower.h"

#include "gatewayconstants.h"

#include <net/scheduler.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Gateway {

namespace {

/// A query to the store. Only the answer to the newest query triggers the next one; rows in answers
/// to earlier queries are still applied.
struct Query
{
    std::uint64_t number = 0;
    Utils::TimePoint sentAt;
    bool isImmediate =
        false; ///< The store is expected to answer at once instead of waiting for a change.
    std::chrono::milliseconds wait = Constants::LongPollTimeout;
    bool isConfirmation = false; ///< An additional query, whose answer never triggers the next one.
    Utils::StoreVersion after; ///< Changes were requested after this version.
    RowStore::CallId call = 0;
    std::optional<Utils::TimePoint> transferBegan; ///< When the first part of its answer arrived.
};

/// A read of the whole table, page by page.
struct TableRead
{
    std::shared_ptr<Query> query;
    std::vector<Row> rows;
    Utils::StoreVersion version; ///< Version of the first page; later changes are polled from it.
};

} // namespace

struct TableFollower::Private : std::enable_shared_from_this<TableFollower::Private>
{
    Net::Scheduler *scheduler = nullptr;
    RowStore *store = nullptr;
    std::string table;
    Events events;
    std::map<std::string, Utils::StoreVersion> knownVersions; ///< Version of each row that exists.
    Utils::StoreVersion version;
    Utils::StoreVersion newestRowVersion;
    std::uint64_t newestQuery = 0;
    std::vector<std::shared_ptr<Query>> pendingQueries;
    Utils::TimePoint lastProgressAt; ///< When the latest part of a pending answer arrived.
    Utils::Duration responseTime{0};
    bool connected = false;
    bool caughtUp = false;
    bool needsFullRead = true; ///< Changes since the last read are not all known.
    bool stopped = false;
    std::chrono::milliseconds batchInterval{0};
    std::chrono::milliseconds retryDelay = Constants::InitialRetryDelay;

    auto sendQuery(bool isImmediate) -> void
    {
        const auto query = std::make_shared<Query>();
        query->number = ++newestQuery;
        query->sentAt = scheduler->now();
        query->isImmediate = isImmediate;
        // The version that is polled from may be the newest one of another era as well, in which
        // case a long poll would hide the new era.
        if (isImmediate || !connected)
            query->wait = std::chrono::milliseconds(0);
        if (needsFullRead)
            readPage(std::make_shared<TableRead>(TableRead{query, {}, {}}), {});
        else
            queryChanges(query);
    }

    auto requestConfirmation() -> void
    {
        if (needsFullRead || scheduler->now() - lastProgressAt < Constants::ConfigurationLagTimeout)
            return;
        const auto query = std::make_shared<Query>();
        query->sentAt = scheduler->now();
        query->isImmediate = true;
        query->wait = std::chrono::milliseconds(0);
        query->isConfirmation = true;
        queryChanges(query);
    }

    /// Sends a query after `delay`, unless a newer one has been sent by then.
    auto sendQueryAfter(std::chrono::milliseconds delay) -> void
    {
        scheduler->callAfter(delay, [self = shared_from_this(), newest = newestQuery] {
            if (!self->stopped && newest == self->newestQuery)
                self->sendQuery(false);
        });
    }

    auto progressCallback(const std::shared_ptr<Query> &query) -> RowStore::ProgressCallback
    {
        return [weak = weak_from_this(), query] {
            if (const auto self = weak.lock())
                self->handleProgress(query);
        };
    }

    auto handleProgress(const std::shared_ptr<Query> &query) -> void
    {
        const auto now = scheduler->now();
        lastProgressAt = now;
        if (!query->transferBegan)
            query->transferBegan = now;
        if (now - *query->transferBegan >= Constants::MinSlowTransferTime)
            abandonOtherQueries(query);
    }

    /// On a slow link the answers to all queries share the bandwidth, and most contain the same.
    /// Only the one whose transfer began first is kept; its end triggers the next query.
    auto abandonOtherQueries(const std::shared_ptr<Query> &kept) -> void
    {
        if (pendingQueries.size() < 2)
            return;
        for (const auto &query : std::exchange(pendingQueries, {kept})) {
            if (query != kept)
                store->abandon(query->call);
        }
        kept->isConfirmation = false;
        kept->number = ++newestQuery;
    }

    auto removePending(const std::shared_ptr<Query> &query) -> void
    {
        std::erase(pendingQueries, query);
        lastProgressAt = {};
    }

    auto readPage(const std::shared_ptr<TableRead> &tableRead, const std::string &from) -> void
    {
        const auto &query = tableRead->query;
        pendingQueries.push_back(query);
        query->call = store->list(table, from, progressCallback(query),
                                  [self = shared_from_this(), tableRead](const auto &answer) {
                                      if (!self->stopped)
                                          self->handlePage(tableRead, answer);
                                  });
    }

    auto handlePage(const std::shared_ptr<TableRead> &tableRead,
                    const Utils::Result<RowSet, StoreError> &answer) -> void
    {
        removePending(tableRead->query);
        if (!answer)
            return handleError(*tableRead->query, answer.error());
        handleSuccess();
        if (tableRead->rows.empty())
            tableRead->version = answer->version;
        const bool isNewest = tableRead->query->number == newestQuery;
        if (answer->version.era != tableRead->version.era) {
            if (isNewest)
                sendQuery(false);
            return;
        }
        tableRead->rows.insert(tableRead->rows.end(), answer->rows.begin(), answer->rows.end());
        if (answer->hasMore && !answer->rows.empty())
            return readPage(tableRead, answer->rows.back().key + '\0');
        responseTime = scheduler->now() - tableRead->query->sentAt;
        const bool isApplied = handleTableRead(*tableRead);
        if (stopped || tableRead->query->number != newestQuery)
            return;
        if (isApplied)
            sendQuery(false);
        else
            sendQueryAfter(Constants::InitialRetryDelay);
    }

    /// Returns false if the copy is newer than the table as it was read.
    auto handleTableRead(TableRead &tableRead) -> bool
    {
        if (caughtUp && tableRead.version < version)
            return false;
        if (caughtUp && tableRead.version.era > version.era && events.onEraChanged)
            events.onEraChanged(tableRead.version.era);
        applyList(tableRead.rows);
        if (stopped)
            return true;
        version = tableRead.version;
        needsFullRead = false;
        if (!caughtUp) {
            caughtUp = true;
            events.onCaughtUp();
        }
        events.onConfirmed(tableRead.query->sentAt);
        return true;
    }

    /// Reports the rows removed since the last read, then the new rows in the order in which they
    /// were written.
    auto applyList(std::vector<Row> &listed) -> void
    {
        std::map<std::string, Utils::StoreVersion> previousVersions;
        previousVersions.swap(knownVersions);
        for (const Row &row : listed) {
            newestRowVersion = std::max(newestRowVersion, row.version);
            knownVersions[row.key] = row.version;
        }
        for (const auto &[key, rowVersion] : previousVersions) {
            if (knownVersions.count(key) == 0)
                events.onRow({key, {}, rowVersion, true});
        }
        std::sort(listed.begin(), listed.end(),
                  [](const Row &a, const Row &b) { return a.version < b.version; });
        for (const Row &row : listed) {
            const auto old = previousVersions.find(row.key);
            if (old == previousVersions.end() || old->second != row.version)
                events.onRow(row);
        }
    }

    auto queryChanges(const std::shared_ptr<Query> &query) -> void
    {
        query->after = version;
        pendingQueries.push_back(query);
        query->call = store->changes(table, version, query->wait, progressCallback(query),
                                     [self = shared_from_this(), query](const auto &answer) {
                                         if (self->stopped)
                                             return;
                                         self->removePending(query);
                                         self->handleChanges(*query, answer);
                                     });
    }

    auto handleChanges(const Query &query, const Utils::Result<RowSet, StoreError> &answer) -> void
    {
        const bool isNewest = query.number == newestQuery;
        if (!answer && answer.error() == StoreError::HistoryGone) {
            if (isNewest || (query.isConfirmation && !needsFullRead)) {
                needsFullRead = true;
                sendQuery(false);
            }
            return;
        }
        if (!answer)
            return handleError(query, answer.error());
        handleSuccess();
        if (answer->version.era > version.era && !needsFullRead) {
            needsFullRead = true;
            return sendQuery(false);
        }
        if (query.isImmediate)
            responseTime = scheduler->now() - query.sentAt;
        // An answer of another era than the query lacks the changes before the version that the
        // query names, as that version was given out again.
        const bool isUsable =
            !needsFullRead && answer->version.era == version.era && query.after.era == version.era;
        const bool hasNewRows = isUsable && answer->version > version;
        if (hasNewRows)
            applyChanges(*answer);
        if (!stopped && isUsable && !answer->hasMore)
            events.onConfirmed(confirmedAt(query, *answer));
        if (stopped || !isNewest)
            return;
        if (batchInterval > std::chrono::milliseconds(0) && hasNewRows && !answer->rows.empty())
            sendQueryAfter(batchInterval);
        else
            sendQuery(false);
    }

    /// An answer without changes was sent at the end of the poll's timeout, any other at some time
    /// after the query.
    auto confirmedAt(const Query &query, const RowSet &answer) const -> Utils::TimePoint
    {
        const bool hasWaited = scheduler->now() - query.sentAt >= query.wait;
        return answer.rows.empty() && hasWaited ? query.sentAt + query.wait : query.sentAt;
    }

    auto applyChanges(const RowSet &changes) -> void
    {
        for (const Row &row : changes.rows) {
            // The row may have arrived already in the answer to a later query.
            if (row.version.number != 0 && row.version <= version)
                continue;
            newestRowVersion = std::max(newestRowVersion, row.version);
            if (row.isRemoved)
                knownVersions.erase(row.key);
            else
                knownVersions[row.key] = row.version;
            events.onRow(row);
            if (stopped)
                return;
        }
        version = changes.version;
    }

    auto handleSuccess() -> void
    {
        retryDelay = Constants::InitialRetryDelay;
        if (!connected) {
            connected = true;
            events.onRegained();
        }
    }

    auto handleError(const Query &query, StoreError error) -> void
    {
        if (query.number != newestQuery)
            return;
        if (connected) {
            connected = false;
            events.onLost(error);
        }
        sendQueryAfter(retryDelay);
        retryDelay = std::min(retryDelay * 2, Constants::MaxRetryDelay);
    }
};

TableFollower::TableFollower(Net::Scheduler &scheduler, RowStore &store, std::string table,
                             std::chrono::milliseconds batchInterval, Events events)
    : d(std::make_shared<Private>())
{
    d->scheduler = &scheduler;
    d->store = &store;
    d->table = std::move(table);
    d->batchInterval = batchInterval;
    d->events = std::move(events);
}

TableFollower::~TableFollower()
{
    d->stopped = true;
}

auto TableFollower::start() -> void
{
    d->sendQuery(false);
}

auto TableFollower::isConnected() const -> bool
{
    return d->connected;
}

auto TableFollower::isCaughtUp() const -> bool
{
    return d->caughtUp;
}

auto TableFollower::newestRowVersion() const -> const Utils::StoreVersion &
{
    return d->newestRowVersion;
}

auto TableFollower::completeVersion() const -> const Utils::StoreVersion &
{
    return d->version;
}

auto TableFollower::responseTime() const -> Utils::Duration
{
    return d->responseTime;
}

auto TableFollower::lastProgressAt() const -> Utils::TimePoint
{
    return d->lastProgressAt;
}

auto TableFollower::queryAgain() -> void
{
    d->sendQuery(true);
}

auto TableFollower::requestConfirmation() -> void
{
    d->requestConfirmation();
}

} // namespace Gateway
