#include "refusal.h"

#include <algorithm>
#include <utils/jsonfield.h>

namespace Admission {

using nlohmann::json;

auto refusalCatalogue() -> const std::vector<RefusalDescription> &
{
    static const std::vector<RefusalDescription> catalogue = {
        {RefusalReason::NoKey, "no_key", 401, "The request carries no key."},
        {RefusalReason::WrongKey, "wrong_key", 401, "No customer has this key."},
        {RefusalReason::KeyWithdrawn, "key_withdrawn", 401,
         "The key was withdrawn after the request arrived."},
        {RefusalReason::UnknownModel, "unknown_model", 404, "No rule defines the model."},
        {RefusalReason::UnknownRoute, "unknown_route", 404, "No rule defines the path."},
        {RefusalReason::MalformedBody, "malformed_body", 400,
         "The body is not what the path expects."},
        {RefusalReason::BodyTooLarge, "body_too_large", 413, "The body is over the entry's limit."},
        {RefusalReason::MethodNotAllowed, "method_not_allowed", 405,
         "The path does not take this method."},
        {RefusalReason::MissingIdentity, "missing_identity", 400,
         "An at-most-once submission names no identity."},
        {RefusalReason::IdentityReused, "identity_reused", 422,
         "The identity was used with another body before."},
        {RefusalReason::OverContract, "over_contract", 429,
         "The customer's rate and burst are used up."},
        {RefusalReason::LargerThanContract, "larger_than_contract", 422,
         "The request alone is over the burst."},
        {RefusalReason::NoBackendServer, "no_backend_server", 503,
         "No backend server can take the request."},
        {RefusalReason::QueueFull, "queue_full", 503, "Too many requests wait already."},
        {RefusalReason::DeadlinePassed, "deadline_passed", 504, "The request's deadline passed."},
        {RefusalReason::WouldMissDeadline, "would_miss_deadline", 503,
         "The wait would outlast the deadline."},
        {RefusalReason::NotFresh, "not_fresh", 503,
         "This instance can't prove that its rules are in force."},
        {RefusalReason::Draining, "draining", 503, "This instance is stopping."},
        {RefusalReason::LoadFailed, "load_failed", 503, "The model could not be loaded."},
        {RefusalReason::BackendFailed, "backend_failed", 502,
         "The backend server failed during the request."},
        {RefusalReason::CrashSuspect, "crash_suspect", 422,
         "The request crashed backend servers before."},
        {RefusalReason::UnknownStream, "unknown_stream", 503,
         "The version that began the stream can't be proved."},
        {RefusalReason::SubmissionInProgress, "submission_in_progress", 409,
         "The same submission is running."},
        {RefusalReason::SubmissionUnknown, "submission_unknown", 409,
         "The submission may have run; it is not run again."},
        {RefusalReason::StoreUnavailable, "store_unavailable", 503,
         "The platform's store does not answer."},
        {RefusalReason::Internal, "internal", 500, "An internal fault."},
    };
    return catalogue;
}

auto makeRefusal(RefusalReason reason, Ran ran, std::chrono::milliseconds retryAfter) -> Refusal
{
    return {reason, ran, retryAfter, {}, {}, {}, {}};
}

auto describe(RefusalReason reason) -> const RefusalDescription &
{
    const auto &all = refusalCatalogue();
    const auto found = std::find_if(all.begin(), all.end(),
                                    [reason](const auto &e) { return e.reason == reason; });
    return found == all.end() ? all.back() : *found;
}

auto toString(Ran ran) -> std::string_view
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Yes:
        return "yes";
    case Ran::Unknown:
        break;
    }
    return "unknown";
}

auto toJson(const Refusal &refusal) -> json
{
    json document = {{"code", describe(refusal.reason).code},
                     {"ran", toString(refusal.ran)},
                     {"retryAfter", static_cast<double>(refusal.retryAfter.count()) / 1000.0},
                     {"message", describe(refusal.reason).meaning},
                     {"rule", refusal.rule},
                     {"person", refusal.person}};
    if (!refusal.detail.empty())
        document["detail"] = refusal.detail;
    if (!refusal.crash.empty())
        document["crash"] = refusal.crash;
    return document;
}

auto refusalFromJson(const json &document) -> std::optional<Refusal>
{
    try {
        const auto code = document.at("code").get<std::string>();
        const auto &all = refusalCatalogue();
        const auto found =
            std::find_if(all.begin(), all.end(), [&code](const auto &e) { return e.code == code; });
        if (found == all.end())
            return std::nullopt;
        Refusal refusal;
        refusal.reason = found->reason;
        const auto ran = document.at("ran").get<std::string>();
        refusal.ran = ran == "no" ? Ran::No : ran == "yes" ? Ran::Yes : Ran::Unknown;
        refusal.retryAfter = std::chrono::milliseconds(
            std::llround(document.at("retryAfter").get<double>() * 1000.0));
        refusal.detail = Utils::fieldOr(document, "detail", "");
        refusal.rule = Utils::fieldOr(document, "rule", "");
        refusal.person = Utils::fieldOr(document, "person", "");
        refusal.crash = Utils::fieldOr(document, "crash", "");
        return refusal;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace Admission
