#include "runrequest.h"

namespace Protocol {

using nlohmann::json;

auto toJson(const RunRequest &request) -> json
{
    return {{"id", request.requestId},
            {"customer", request.customer},
            {"keyHash", request.keyHash},
            {"weight", request.weight},
            {"cost", request.cost},
            {"model", request.model},
            {"adapter", request.adapter},
            {"method", request.method},
            {"path", request.path},
            {"contentType", request.contentType},
            {"body", json::binary({request.body.begin(), request.body.end()})},
            {"timeLeft", request.timeLeft.count()},
            {"identity", request.submissionIdentity},
            {"fingerprint", request.fingerprint},
            {"crashes", request.crashes}};
}

auto runRequestFromJson(const json &document) -> std::optional<RunRequest>
{
    try {
        RunRequest request;
        request.requestId = document.at("id").get<std::string>();
        request.customer = document.at("customer").get<std::string>();
        request.keyHash = document.at("keyHash").get<std::string>();
        request.weight = document.at("weight").get<double>();
        request.cost = document.at("cost").get<double>();
        request.model = document.at("model").get<std::string>();
        request.adapter = document.at("adapter").get<std::string>();
        request.method = document.at("method").get<std::string>();
        request.path = document.at("path").get<std::string>();
        request.contentType = document.at("contentType").get<std::string>();
        const auto &body = document.at("body").get_binary();
        request.body.assign(body.begin(), body.end());
        request.timeLeft = std::chrono::milliseconds(document.at("timeLeft").get<std::int64_t>());
        request.submissionIdentity = document.at("identity").get<std::string>();
        request.fingerprint = document.at("fingerprint").get<std::string>();
        request.crashes = document.at("crashes").get<std::vector<std::string>>();
        return request;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

auto toJson(const ResumeRequest &request) -> json
{
    return {{"id", request.requestId}, {"offset", request.offset}, {"begun", request.hasBegun}};
}

auto resumeRequestFromJson(const json &document) -> std::optional<ResumeRequest>
{
    try {
        return ResumeRequest{document.at("id").get<std::string>(),
                             document.at("offset").get<std::uint64_t>(),
                             document.at("begun").get<bool>()};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace Protocol
