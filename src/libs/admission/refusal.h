#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Admission {

/// Why a request was refused. Each has a counter of its own.
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
    SubmissionInProgress,
    SubmissionUnknown,
    StoreUnavailable,
    Internal,
};

/// Whether the refused request may have been run.
enum class Ran { No, Yes, Unknown };

/// The final answer to a request that is given up.
struct Refusal
{
    RefusalReason reason = RefusalReason::Internal;
    Ran ran = Ran::No;
    std::chrono::milliseconds retryAfter{0}; ///< 0 when asking again is no use.
    std::string detail;
    std::string rule; ///< The rule's line that led to it, if one did.
    std::string person; ///< Who asked for that rule.
    std::string crash; ///< Identifies the crash that ended the request, if one did.
};

/// A refusal that no rule's line led to.
auto makeRefusal(RefusalReason reason, Ran ran, std::chrono::milliseconds retryAfter) -> Refusal;

/// Code, HTTP status and meaning of a reason, as the pages list them.
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
