#include "codec.h"

namespace Protocol {

using nlohmann::json;

namespace Path {
const std::string controlPull = "/control/pull";
const std::string run = "/run";
const std::string resume = "/resume";
const std::string cancel = "/cancel";
const std::string contractRequest = "/contract/ask";
const std::string contractTransfer = "/contract/give";
const std::string contractAcknowledge = "/contract/acknowledge";
const std::string loadSlot = "/load/slot";
const std::string loadSlotReturn = "/load/slot-return";
const std::string strike = "/strike";
const std::string status = "/status";
const std::string explain = "/explain";
} // namespace Path

auto encode(const json &document) -> std::string
{
    std::string bytes;
    json::to_msgpack(document, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

auto decode(const std::string &bytes) -> std::optional<json>
{
    json document = json::from_msgpack(bytes, true, false);
    return document.is_discarded() ? std::nullopt : std::optional(std::move(document));
}

} // namespace Protocol
