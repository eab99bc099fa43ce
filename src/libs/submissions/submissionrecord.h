#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace Submissions {

/// Identifies a submission; the caller sends the same identity with every retry.
struct SubmissionIdentity
{
    std::string customer;
    std::string route;
    std::string identity;

    auto rowKey() const -> std::string;
};

/// The answer of a finished submission.
struct RecordedAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// The stored row of a submission; it is written before the submission is dispatched.
struct SubmissionRecord
{
    std::string token; ///< Identifies the attempt that owns the row.
    std::string bodyHash;
    /// Wall-clock time; after it, the outcome of a record without an answer is unknown.
    std::int64_t deadlineMs = 0;
    std::optional<RecordedAnswer> answer;
    bool isUnknown = false; ///< The dispatcher doesn't know whether the submission ran.
    bool isAbandoned = false; ///< Known not to be dispatched; the next attempt may take the row.
};

auto toJson(const SubmissionRecord &record) -> nlohmann::json;
auto submissionRecordFromJson(const nlohmann::json &document) -> std::optional<SubmissionRecord>;

} // namespace Submissions
