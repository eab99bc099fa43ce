#include "submissionkeeper.h"

#include <utils/hashing.h>

namespace Submissions {

using Storage::TableError;
using Storage::TableRow;
using Storage::TableTransaction;

namespace {

constexpr int tokenBytes = 16;
/// Number of attempts to record an answer; after them the row stays as it is.
constexpr int maxRecordAttempts = 5;

} // namespace

struct SubmissionKeeper::Private : std::enable_shared_from_this<SubmissionKeeper::Private>
{
    /// One caller's attempt to claim a submission, with its state over retries.
    struct Claim
    {
        std::string key;
        SubmissionRecord record;
        std::uint64_t expectedVersion = 0;
        bool isRetry = false;
        BeginCallback done;
    };

    Storage::TableService &table;
    WallClock wallClock;

    Private(Storage::TableService &tableService, WallClock clock)
        : table(tableService)
        , wallClock(std::move(clock))
    { }

    auto write(const std::string &key, std::uint64_t expectedVersion,
               const SubmissionRecord &record, Storage::TableService::CommitCallback done) -> void
    {
        TableTransaction transaction;
        transaction.conditions.push_back({key, expectedVersion});
        transaction.writes.push_back({key, toJson(record)});
        table.commit(transaction, std::move(done));
    }

    auto tryClaim(const Claim &claim) -> void
    {
        write(claim.key, claim.expectedVersion, claim.record,
              [self = shared_from_this(), claim](const auto &result) {
                  const bool isLost = !result && result.error() != TableError::Conflict;
                  if (result)
                      claim.done(RunNow{claim.record.token, claim.expectedVersion + 1});
                  else if (isLost && claim.isRetry)
                      self->failClaim(claim);
                  else
                      self->readBack(claim);
              });
    }

    /// Reads the row after a conflict or a lost answer, to find which attempt owns it.
    auto readBack(const Claim &claim) -> void
    {
        table.read(claim.key, [self = shared_from_this(), claim](const auto &row) {
            if (!row)
                self->failClaim(claim);
            else
                self->resolveClaim(*row, claim);
        });
    }

    auto resolveClaim(const TableRow &row, Claim claim) -> void
    {
        const auto found = submissionRecordFromJson(row.value);
        if (row.version == claim.expectedVersion) {
            // The row is not written yet. Retries with the same token, so that it doesn't matter
            // which of the two writes takes effect.
            claim.isRetry = true;
            tryClaim(claim);
        } else if (!found) {
            claim.done(BeginRefusal::Unknown);
        } else if (found->token == claim.record.token) {
            claim.done(RunNow{claim.record.token, row.version});
        } else if (found->isAbandoned) {
            claim.expectedVersion = row.version;
            tryClaim(claim);
        } else {
            claim.done(outcomeOf(*found, claim.record));
        }
    }

    auto outcomeOf(const SubmissionRecord &found, const SubmissionRecord &own) const -> BeginResult
    {
        if (found.bodyHash != own.bodyHash)
            return BeginRefusal::IdentityReused;
        if (found.answer)
            return AlreadyAnswered{*found.answer};
        const bool mayStillRun = !found.isUnknown && wallClock().count() < found.deadlineMs;
        return mayStillRun ? BeginRefusal::InProgress : BeginRefusal::Unknown;
    }

    auto failClaim(const Claim &claim) -> void
    {
        abandonIfOwn(claim.key, claim.record.token);
        claim.done(BeginRefusal::StoreUnavailable);
    }

    /// Marks the row of a submission that was not dispatched as abandoned, if the attempt `token`
    /// owns it. If that fails, the submission's outcome counts as unknown, which is safe.
    auto abandonIfOwn(const std::string &key, const std::string &token) -> void
    {
        table.read(key, [self = shared_from_this(), key, token](const auto &row) {
            const auto found = row ? submissionRecordFromJson(row->value) : std::nullopt;
            if (!found || found->token != token || found->answer)
                return;
            SubmissionRecord record = *found;
            record.isAbandoned = true;
            self->write(key, row->version, record, [](const auto &) {});
        });
    }

    auto record(const std::string &key, std::uint64_t version, const SubmissionRecord &finished,
                int attempt, const std::function<void(bool)> &done) -> void
    {
        write(
            key, version, finished,
            [self = shared_from_this(), key, version, finished, attempt, done](const auto &result) {
                if (result)
                    done(true);
                else if (result.error() == TableError::Conflict)
                    // Only this process writes the row now, so a conflict on a retry means that an
                    // earlier attempt was committed and its reply was lost.
                    done(attempt > 1);
                else if (attempt < maxRecordAttempts)
                    self->record(key, version, finished, attempt + 1, done);
                else
                    done(false);
            });
    }
};

SubmissionKeeper::SubmissionKeeper(Storage::TableService &table, WallClock wallClock)
    : d(std::make_shared<Private>(table, std::move(wallClock)))
{ }

SubmissionKeeper::~SubmissionKeeper() = default;

auto SubmissionKeeper::begin(const SubmissionIdentity &identity, const std::string &bodyHash,
                             std::chrono::milliseconds timeLeft, BeginCallback done) -> void
{
    SubmissionRecord record;
    record.token = Utils::randomHex(tokenBytes);
    record.bodyHash = bodyHash;
    record.deadlineMs = (d->wallClock() + timeLeft).count();
    d->tryClaim({identity.rowKey(), record, 0, false, std::move(done)});
}

auto SubmissionKeeper::finish(const SubmissionIdentity &identity, const RunNow &run,
                              const std::string &bodyHash, std::optional<RecordedAnswer> answer,
                              const std::function<void(bool)> &done) -> void
{
    SubmissionRecord record;
    record.token = run.token;
    record.bodyHash = bodyHash;
    record.isUnknown = !answer.has_value();
    record.answer = std::move(answer);
    d->record(identity.rowKey(), run.version, record, 1, done);
}

auto SubmissionKeeper::abandon(const SubmissionIdentity &identity, const RunNow &run) -> void
{
    d->abandonIfOwn(identity.rowKey(), run.token);
}

} // namespace Submissions
