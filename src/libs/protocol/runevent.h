#pragma once

#include <admission/refusal.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Protocol {

/// The answer's head, with what the agent wants entries to know of its load.
struct AnswerBegun
{
    int status = 0;
    std::string contentType;
    int queued = 0;
};

/// A piece of the answer's body and where it begins.
struct AnswerData
{
    std::uint64_t offset = 0;
    std::string bytes;
};

/// The answer is whole; its body has this many bytes.
struct AnswerEnded
{
    std::uint64_t totalBytes = 0;
};

using RunEvent = std::variant<AnswerBegun, AnswerData, AnswerEnded, Admission::Refusal>;

auto toJson(const RunEvent &event) -> nlohmann::json;
auto runEventFromJson(const nlohmann::json &document) -> std::optional<RunEvent>;

} // namespace Protocol
