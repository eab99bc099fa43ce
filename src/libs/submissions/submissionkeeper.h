#pragma once

#include <storage/tableservice.h>
#include <submissions/submissionrecord.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace Submissions {

/// The submission is new; this process runs it once, under `token`.
struct RunNow
{
    std::string token;
    std::uint64_t version = 0; ///< Of the row that this process inserted.
};

/// The submission ran before and got this answer.
struct AlreadyAnswered
{
    RecordedAnswer answer;
};

/// It can't be run now, for one of these reasons. None of them leaves it to run later.
enum class BeginRefusal {
    InProgress,
    Unknown, ///< It may have run; it will not be run again.
    IdentityReused, ///< The same identity was used with another body.
    StoreUnavailable, ///< Nothing was dispatched.
};

using BeginResult = std::variant<RunNow, AlreadyAnswered, BeginRefusal>;

/// Makes a submission run at most once: its row is written before the dispatch and is never
/// deleted, so its version only grows; whoever wrote it last is the only one to run it.
class SubmissionKeeper
{
public:
    using BeginCallback = std::function<void(const BeginResult &)>;
    using WallClock = std::function<std::chrono::milliseconds()>;

    SubmissionKeeper(Storage::TableService &table, WallClock wallClock);
    ~SubmissionKeeper();

    auto begin(const SubmissionIdentity &identity, const std::string &bodyHash,
               std::chrono::milliseconds timeLeft, BeginCallback done) -> void;
    /// Records the answer, or that the outcome is unknown. `done` tells whether the row holds it.
    auto finish(const SubmissionIdentity &identity, const RunNow &run, const std::string &bodyHash,
                std::optional<RecordedAnswer> answer,
                const std::function<void(bool recorded)> &done) -> void;
    /// The row was inserted but the dispatch proved not to have happened: lets the caller try
    /// again.
    auto abandon(const SubmissionIdentity &identity, const RunNow &run) -> void;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace Submissions
