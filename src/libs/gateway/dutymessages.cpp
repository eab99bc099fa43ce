#include "dutymessages.h"

#include <admission/modelforecast.h>
#include <utils/jsonfield.h>

namespace Gateway {

using nlohmann::json;
using Utils::fieldOr;

namespace {

auto versionToJson(const Utils::StoreVersion &version) -> json
{
    return {version.era, version.number};
}

auto versionFromJson(const json &value) -> Utils::StoreVersion
{
    if (!value.is_array() || value.size() != 2 || !value[0].is_number_unsigned()
        || !value[1].is_number_unsigned())
        return {};
    return {Utils::StoreEra(value[0].get<std::uint64_t>()), value[1]};
}

auto storeViewToJson(const StoreView &seen) -> json
{
    return {versionToJson(seen.configurationRow), versionToJson(seen.serverRow), seen.outages,
            seen.configuration};
}

auto storeViewFromJson(const json &message) -> StoreView
{
    const auto values = fieldOr(message, "seen", json());
    constexpr size_t fieldCount = 4;
    if (!values.is_array() || values.size() != fieldCount || !values[2].is_number_unsigned()
        || !values[3].is_number_unsigned())
        return {};
    return {versionFromJson(values[0]), versionFromJson(values[1]), values[2], values[3]};
}

} // namespace

auto HolderMessage::toJson() const -> json
{
    json addresses = json::array();
    for (const auto &address : members)
        addresses.push_back(address.toString());
    json message = {{"kind", Kind},
                    {"name", name},
                    {"lease", versionToJson(lease)},
                    {"gateways", gateways},
                    {"seen", storeViewToJson(seen)},
                    {"members", addresses},
                    {"heard", isReceiverAlive}};
    if (forecast)
        message["forecast"] = Admission::ModelForecast::toJson(*forecast);
    return message;
}

auto HolderMessage::fromJson(const json &message) -> HolderMessage
{
    HolderMessage result;
    result.name = fieldOr(message, "name", std::string());
    result.lease = versionFromJson(fieldOr(message, "lease", json()));
    result.gateways = fieldOr(message, "gateways", 0);
    result.seen = storeViewFromJson(message);
    result.forecast = Admission::ModelForecast::fromJson(fieldOr(message, "forecast", json()));
    result.isReceiverAlive = fieldOr(message, "heard", false);
    for (const auto &text : fieldOr(message, "members", std::vector<std::string>())) {
        const auto address = Http1::SocketAddress::parse(text);
        if (address && address->isConnectable())
            result.members.push_back(*address);
    }
    return result;
}

auto DemandMessage::toJson() const -> json
{
    return {{"kind", Kind},
            {"name", name},
            {"seen", storeViewToJson(seen)},
            {"demand", demand},
            {"versions", versions}};
}

auto DemandMessage::fromJson(const json &message) -> DemandMessage
{
    return {fieldOr(message, "name", std::string()), storeViewFromJson(message),
            message.value("demand", json::array()), message.value("versions", json::array())};
}

auto EngineMessage::toJson() const -> json
{
    json models = json::object();
    for (const auto &[model, adapters] : report.models)
        models[model] = adapters;
    json message = {
        {"kind", Kind}, {"id", id}, {"orders", report.ordersAccepted}, {"models", models}};
    if (report.startedAtMs)
        message["started"] = *report.startedAtMs;
    return message;
}

auto EngineMessage::fromJson(const json &message) -> EngineMessage
{
    EngineMessage result;
    result.id = fieldOr(message, "id", std::string());
    result.report.ordersAccepted = fieldOr(message, "orders", std::int64_t(0));
    if (message.contains("started"))
        result.report.startedAtMs = Utils::wholeNumber<std::int64_t>(message["started"], 0);
    const json models = message.value("models", json::object());
    for (const auto &[model, adapters] : models.items())
        result.report.models[model] = adapters.get<std::set<std::string>>();
    return result;
}

} // namespace Gateway
