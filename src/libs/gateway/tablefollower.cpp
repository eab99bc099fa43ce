#include "tablefollower.h"

#include "gatewayconstants.h"

#include <net/scheduler.h>

#include <algorithm>
#include <map>
#include <vector>

namespace Gateway {

namespace {

/// A question to the store. Only the answer to the newest one leads to the next question; answers
/// to earlier ones still bring their rows.
struct Question
{
    std::uint64_t number = 0;
    Utils::TimePoint askedAt;
    bool isHurried = false; ///< The store had an answer when it was asked.
    std::chrono::milliseconds wait = Constants::ChangesWait;
    bool isConfirming = false; ///< Beside the others; it never leads to the next question.
};

/// A read of the whole table, page by page.
struct Reading
{
    Question question;
    std::vector<Row> rows;
    std::uint64_t version = 0; ///< Of the first page: changes after it follow.
};

} // namespace

struct TableFollower::Private : std::enable_shared_from_this<TableFollower::Private>
{
    Net::Scheduler *scheduler = nullptr;
    RowStore *store = nullptr;
    std::string table;
    Events events;
    std::map<std::string, std::uint64_t> known; ///< Version of each row that exists.
    std::uint64_t version = 0;
    std::uint64_t newestRow = 0;
    std::uint64_t newestQuestion = 0;
    Utils::TimePoint progressAt; ///< When part of an answer that is under way arrived last.
    Utils::Duration answerTime{0};
    bool connected = false;
    bool caughtUp = false;
    bool mustReadAll = true; ///< Changes since the last read are not all known.
    bool stopped = false;
    std::chrono::milliseconds gatherPause{0};
    std::chrono::milliseconds pause = Constants::FirstRetryPause;

    auto ask(bool isHurried) -> void
    {
        Question question;
        question.number = ++newestQuestion;
        question.askedAt = scheduler->now();
        question.isHurried = isHurried;
        if (mustReadAll)
            readPage(std::make_shared<Reading>(Reading{question, {}, 0}), {});
        else
            askChanges(question);
    }

    auto confirm() -> void
    {
        if (mustReadAll || scheduler->now() - progressAt < Constants::ConfigurationPatience)
            return;
        Question question;
        question.askedAt = scheduler->now();
        question.isHurried = true;
        question.wait = std::chrono::milliseconds(0);
        question.isConfirming = true;
        askChanges(question);
    }

    /// Asks after `delay`, unless there is a newer question by then.
    auto askLater(std::chrono::milliseconds delay) -> void
    {
        scheduler->callAfter(delay, [self = shared_from_this(), newest = newestQuestion] {
            if (!self->stopped && newest == self->newestQuestion)
                self->ask(false);
        });
    }

    auto progress() -> RowStore::ProgressCallback
    {
        return [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->progressAt = self->scheduler->now();
        };
    }

    auto readPage(const std::shared_ptr<Reading> &reading, const std::string &from) -> void
    {
        store->list(table, from, progress(),
                    [self = shared_from_this(), reading](const auto &answer) {
                        if (!self->stopped)
                            self->takePage(reading, answer);
                    });
    }

    auto takePage(const std::shared_ptr<Reading> &reading,
                  const Utils::Result<RowSet, StoreError> &answer) -> void
    {
        progressAt = {};
        if (!answer)
            return fail(reading->question, answer.error());
        succeed();
        if (reading->rows.empty())
            reading->version = answer->version;
        reading->rows.insert(reading->rows.end(), answer->rows.begin(), answer->rows.end());
        if (answer->hasMore && !answer->rows.empty())
            return readPage(reading, answer->rows.back().key + '\0');
        answerTime = scheduler->now() - reading->question.askedAt;
        takeReading(*reading);
        if (!stopped && reading->question.number == newestQuestion)
            ask(false);
    }

    auto takeReading(Reading &reading) -> void
    {
        if (!caughtUp || reading.version >= version) {
            applyList(reading.rows);
            version = std::max(version, reading.version);
            mustReadAll = false;
        }
        if (!caughtUp) {
            caughtUp = true;
            events.onCaughtUp();
        }
        events.onConfirmed(reading.question.askedAt);
    }

    /// Rows in the order in which they were written, after what was removed since the last read.
    auto applyList(std::vector<Row> &listed) -> void
    {
        std::map<std::string, std::uint64_t> before;
        before.swap(known);
        for (const Row &row : listed) {
            newestRow = std::max(newestRow, row.version);
            known[row.key] = row.version;
        }
        for (const auto &[key, rowVersion] : before) {
            if (known.count(key) == 0)
                events.onRow({key, {}, rowVersion, true});
        }
        std::sort(listed.begin(), listed.end(),
                  [](const Row &a, const Row &b) { return a.version < b.version; });
        for (const Row &row : listed) {
            const auto old = before.find(row.key);
            if (old == before.end() || old->second != row.version)
                events.onRow(row);
        }
    }

    auto askChanges(const Question &question) -> void
    {
        store->changes(table, version, question.wait, progress(),
                       [self = shared_from_this(), question](const auto &answer) {
                           if (!self->stopped)
                               self->takeChanges(question, answer);
                       });
    }

    auto takeChanges(const Question &question, const Utils::Result<RowSet, StoreError> &answer)
        -> void
    {
        progressAt = {};
        const bool isNewest = question.number == newestQuestion;
        if (!answer && answer.error() == StoreError::HistoryGone) {
            if (isNewest || (question.isConfirming && !mustReadAll)) {
                mustReadAll = true;
                ask(false);
            }
            return;
        }
        if (!answer)
            return fail(question, answer.error());
        succeed();
        if (question.isHurried)
            answerTime = scheduler->now() - question.askedAt;
        const bool bringsNews = answer->version > version && !mustReadAll;
        if (bringsNews)
            applyChanges(*answer);
        if (!stopped && !mustReadAll && !answer->hasMore)
            events.onConfirmed(confirmedAt(question, *answer));
        if (stopped || !isNewest)
            return;
        if (gatherPause > std::chrono::milliseconds(0) && bringsNews && !answer->rows.empty())
            askLater(gatherPause);
        else
            ask(false);
    }

    /// An answer without changes left the store at the end of the wait, any other at some time
    /// after the question.
    auto confirmedAt(const Question &question, const RowSet &answer) const -> Utils::TimePoint
    {
        const bool hasWaited = scheduler->now() - question.askedAt >= question.wait;
        return answer.rows.empty() && hasWaited ? question.askedAt + question.wait
                                                : question.askedAt;
    }

    auto applyChanges(const RowSet &changes) -> void
    {
        for (const Row &row : changes.rows) {
            // An answer to a later question may have brought it already.
            if (row.version != 0 && row.version <= version)
                continue;
            newestRow = std::max(newestRow, row.version);
            if (row.isRemoved)
                known.erase(row.key);
            else
                known[row.key] = row.version;
            events.onRow(row);
            if (stopped)
                return;
        }
        version = changes.version;
    }

    auto succeed() -> void
    {
        pause = Constants::FirstRetryPause;
        if (!connected) {
            connected = true;
            events.onRegained();
        }
    }

    auto fail(const Question &question, StoreError error) -> void
    {
        if (question.number != newestQuestion)
            return;
        if (connected) {
            connected = false;
            events.onLost(error);
        }
        askLater(pause);
        pause = std::min(pause * 2, Constants::LongestRetryPause);
    }
};

TableFollower::TableFollower(Net::Scheduler &scheduler, RowStore &store, std::string table,
                             std::chrono::milliseconds pause, Events events)
    : d(std::make_shared<Private>())
{
    d->scheduler = &scheduler;
    d->store = &store;
    d->table = std::move(table);
    d->gatherPause = pause;
    d->events = std::move(events);
}

TableFollower::~TableFollower()
{
    d->stopped = true;
}

auto TableFollower::start() -> void
{
    d->ask(false);
}

auto TableFollower::isConnected() const -> bool
{
    return d->connected;
}

auto TableFollower::isCaughtUp() const -> bool
{
    return d->caughtUp;
}

auto TableFollower::newestRow() const -> std::uint64_t
{
    return d->newestRow;
}

auto TableFollower::completeTo() const -> std::uint64_t
{
    return d->version;
}

auto TableFollower::answerTime() const -> Utils::Duration
{
    return d->answerTime;
}

auto TableFollower::progressAt() const -> Utils::TimePoint
{
    return d->progressAt;
}

auto TableFollower::hurry() -> void
{
    d->ask(true);
}

auto TableFollower::confirm() -> void
{
    d->confirm();
}

} // namespace Gateway
