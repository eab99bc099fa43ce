#pragma once

#include <storage/tableservice.h>
#include <submissions/submissionrecord.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace Submissions {

/// The caller owns the submission under `token` and must run it once.
struct RunNow
{
    std::string token;
    std::uint64_t version = 0; ///< Version of the row that this process wrote.
};

/// The submission ran earlier; this is its recorded answer.
struct AlreadyAnswered
{
    RecordedAnswer answer;
};

/// Why a submission can't be run now. It isn't queued to run later in any of these cases.
enum class BeginRefusal {
    InProgress,
    Unknown, ///< It may have run; it will not be run again.
    IdentityReused, ///< The same identity was used with another body.
    StoreUnavailable, ///< Nothing was dispatched.
};

using BeginResult = std::variant<RunNow, AlreadyAnswered, BeginRefusal>;

/// Ensures that a submission runs at most once. Its row is written before the dispatch and is never
/// deleted, so its version only grows; only the attempt that wrote the row last may run it.
class SubmissionKeeper
{
public:
    using BeginCallback = std::function<void(const BeginResult &)>;
    using WallClock = std::function<std::chrono::milliseconds()>;

    SubmissionKeeper(Storage::TableService &table, WallClock wallClock);
    ~SubmissionKeeper();

    auto begin(const SubmissionIdentity &identity, const std::string &bodyHash,
               std::chrono::milliseconds timeLeft, BeginCallback done) -> void;
    /// Records the answer, or that the outcome is unknown. `done` receives whether it is stored.
    auto finish(const SubmissionIdentity &identity, const RunNow &run, const std::string &bodyHash,
                std::optional<RecordedAnswer> answer,
                const std::function<void(bool recorded)> &done) -> void;
    /// Releases the row of a submission that is known not to be dispatched, so that the caller may
    /// retry.
    auto abandon(const SubmissionIdentity &identity, const RunNow &run) -> void;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace Submissions
