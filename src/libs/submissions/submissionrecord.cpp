#include "submissionrecord.h"

#include <utils/hashing.h>

namespace Submissions {

using nlohmann::json;

auto SubmissionIdentity::rowKey() const -> std::string
{
    return "submission/" + customer + "/" + Utils::sha256Hex(route + "\n" + identity);
}

auto toJson(const SubmissionRecord &record) -> json
{
    json document = {{"token", record.token},
                     {"bodyHash", record.bodyHash},
                     {"deadline", record.deadlineMs},
                     {"unknown", record.isUnknown},
                     {"abandoned", record.isAbandoned}};
    if (record.answer) {
        document["answer"] = {{"status", record.answer->status},
                              {"contentType", record.answer->contentType},
                              {"body", record.answer->body}};
    }
    return document;
}

auto submissionRecordFromJson(const json &document) -> std::optional<SubmissionRecord>
{
    try {
        SubmissionRecord record;
        record.token = document.at("token").get<std::string>();
        record.bodyHash = document.at("bodyHash").get<std::string>();
        record.deadlineMs = document.at("deadline").get<std::int64_t>();
        record.isUnknown = document.at("unknown").get<bool>();
        record.isAbandoned = document.at("abandoned").get<bool>();
        if (document.contains("answer")) {
            const auto &answer = document["answer"];
            record.answer = RecordedAnswer{answer.at("status").get<int>(),
                                           answer.at("contentType").get<std::string>(),
                                           answer.at("body").get<std::string>()};
        }
        return record;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace Submissions
