#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace Submissions {

/// What identifies a submission: the same however often the caller sends it.
struct SubmissionIdentity
{
    std::string customer;
    std::string route;
    std::string identity;

    auto rowKey() const -> std::string;
};

/// The answer that a finished submission got.
struct RecordedAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// The row that stands for a submission from before its dispatch on.
struct SubmissionRecord
{
    std::string token; ///< Of the attempt that inserted it.
    std::string bodyHash;
    std::int64_t deadlineMs =
        0; ///< Wall clock; a record without answer is of unknown outcome after it.
    std::optional<RecordedAnswer> answer;
    bool isUnknown = false; ///< The dispatcher itself doesn't know whether it ran.
    bool isAbandoned = false; ///< Proved not dispatched; the next attempt may take the row over.
};

auto toJson(const SubmissionRecord &record) -> nlohmann::json;
auto submissionRecordFromJson(const nlohmann::json &document) -> std::optional<SubmissionRecord>;

} // namespace Submissions
