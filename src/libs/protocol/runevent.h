#pragma once

#include <admission/refusal.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Protocol {

/// The head of the answer, and the agent's queue length.
struct AnswerBegun
{
    int status = 0;
    std::string contentType;
    int queued = 0;
};

/// A piece of the answer's body and its offset.
struct AnswerData
{
    std::uint64_t offset = 0;
    std::string bytes;
};

/// The answer is complete; its body has `totalBytes` bytes.
struct AnswerEnded
{
    std::uint64_t totalBytes = 0;
};

using RunEvent = std::variant<AnswerBegun, AnswerData, AnswerEnded, Admission::Refusal>;

auto toJson(const RunEvent &event) -> nlohmann::json;
auto runEventFromJson(const nlohmann::json &document) -> std::optional<RunEvent>;

} // namespace Protocol
