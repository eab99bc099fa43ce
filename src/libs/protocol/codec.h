#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace Protocol {

/// Encodes a document as MessagePack, the format between the system's processes.
auto encode(const nlohmann::json &document) -> std::string;
/// Decodes MessagePack; returns nothing if the bytes are not valid.
auto decode(const std::string &bytes) -> std::optional<nlohmann::json>;

/// Paths of the calls between processes.
namespace Path {
extern const std::string controlPull;
extern const std::string run;
extern const std::string resume;
extern const std::string cancel;
extern const std::string contractRequest;
extern const std::string contractTransfer;
extern const std::string contractAcknowledge;
extern const std::string loadSlot;
extern const std::string loadSlotReturn;
extern const std::string strike;
extern const std::string status;
extern const std::string explain;
} // namespace Path

} // namespace Protocol
