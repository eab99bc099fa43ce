#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Admission {

/// Why a request was refused. Each reason has its own counter.
enum class RefusalReason {
    NoKey,
    WrongKey,
    KeyWithdrawn,
    UnknownModel,
    UnknownRoute,
    MalformedBody,
    BodyTooLarge,
    MethodNotAllowed,
    MissingIdentity,
    IdentityReused,
    OverContract,
    LargerThanContract,
    NoBackendServer,
    QueueFull,
    DeadlinePassed,
    WouldMissDeadline,
    NotFresh,
    Draining,
    LoadFailed,
    BackendFailed,
    CrashSuspect,
    UnknownStream,
    SubmissionInProgress,
    SubmissionUnknown,
    StoreUnavailable,
    Internal,
};

/// Whether the refused request may have been run.
enum class Ran { No, Yes, Unknown };

/// The final answer to a request that is not served.
struct Refusal
{
    RefusalReason reason = RefusalReason::Internal;
    Ran ran = Ran::No;
    std::chrono::milliseconds retryAfter{0}; ///< 0 if a retry is pointless.
    std::string detail;
    std::string rule; ///< Text of the rule that caused the refusal, if any.
    std::string person; ///< The person who requested that rule.
    std::string crash; ///< Identifies the crash that ended the request, if any.
};

/// Creates a refusal that wasn't caused by a rule.
auto makeRefusal(RefusalReason reason, Ran ran, std::chrono::milliseconds retryAfter) -> Refusal;

/// Code, HTTP status and meaning of a reason, as listed in the documentation.
struct RefusalDescription
{
    RefusalReason reason;
    std::string_view code;
    int httpStatus;
    std::string_view meaning;
};

auto refusalCatalogue() -> const std::vector<RefusalDescription> &;
auto describe(RefusalReason reason) -> const RefusalDescription &;
auto toString(Ran ran) -> std::string_view;

auto toJson(const Refusal &refusal) -> nlohmann::json;
auto refusalFromJson(const nlohmann::json &document) -> std::optional<Refusal>;

} // namespace Admission
