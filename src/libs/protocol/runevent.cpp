#include "runevent.h"

namespace Protocol {

using nlohmann::json;

namespace {

struct ToJson
{
    auto operator()(const AnswerBegun &event) const -> json
    {
        return {{"type", "begun"},
                {"status", event.status},
                {"contentType", event.contentType},
                {"queued", event.queued}};
    }

    auto operator()(const AnswerData &event) const -> json
    {
        return {{"type", "data"},
                {"offset", event.offset},
                {"bytes", json::binary({event.bytes.begin(), event.bytes.end()})}};
    }

    auto operator()(const AnswerEnded &event) const -> json
    {
        return {{"type", "ended"}, {"total", event.totalBytes}};
    }

    auto operator()(const Admission::Refusal &event) const -> json
    {
        return {{"type", "refused"}, {"refusal", Admission::toJson(event)}};
    }
};

auto dataFromJson(const json &document) -> AnswerData
{
    const auto &bytes = document.at("bytes").get_binary();
    return {document.at("offset").get<std::uint64_t>(), std::string(bytes.begin(), bytes.end())};
}

} // namespace

auto toJson(const RunEvent &event) -> json
{
    return std::visit(ToJson(), event);
}

auto runEventFromJson(const json &document) -> std::optional<RunEvent>
{
    try {
        const auto type = document.at("type").get<std::string>();
        if (type == "begun")
            return AnswerBegun{document.at("status").get<int>(),
                               document.at("contentType").get<std::string>(),
                               document.at("queued").get<int>()};
        if (type == "data")
            return dataFromJson(document);
        if (type == "ended")
            return AnswerEnded{document.at("total").get<std::uint64_t>()};
        const auto refusal = Admission::refusalFromJson(document.at("refusal"));
        return refusal ? std::optional<RunEvent>(*refusal) : std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace Protocol
