#include "epoch.h"

#include "contractsconstants.h"

#include <utils/rendezvous.h>

#include <algorithm>

namespace Contracts {

using nlohmann::json;

auto Epoch::includes(const std::string &entry, const std::string &incarnation) const -> bool
{
    const auto found = incarnations.find(entry);
    return found != incarnations.end() && found->second == incarnation;
}

auto Epoch::baseEntriesOf(const std::string &customer) const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &[name, incarnation] : incarnations)
        names.push_back(name);
    auto ranked = Utils::rankByRendezvous(customer, std::move(names));
    ranked.resize(std::min(ranked.size(), static_cast<size_t>(Constants::BaseEntriesPerCustomer)));
    return ranked;
}

auto Epoch::baseShare(const std::string &customer, const std::string &entry) const -> double
{
    const auto baseEntries = baseEntriesOf(customer);
    const bool isBaseEntry =
        std::find(baseEntries.begin(), baseEntries.end(), entry) != baseEntries.end();
    return isBaseEntry ? 1.0 / static_cast<double>(baseEntries.size()) : 0.0;
}

auto toJson(const Epoch &epoch) -> json
{
    json contracts = json::object();
    for (const auto &[customer, contract] : epoch.contracts)
        contracts[customer] = {{"rate", contract.rate}, {"burst", contract.burst}};
    return {{"number", epoch.number}, {"entries", epoch.incarnations}, {"contracts", contracts}};
}

auto epochFromJson(const json &document) -> std::optional<Epoch>
{
    try {
        Epoch epoch;
        epoch.number = document.at("number").get<std::uint64_t>();
        epoch.incarnations = document.at("entries").get<std::map<std::string, std::string>>();
        for (const auto &[customer, entry] : document.at("contracts").items())
            epoch.contracts[customer] = {entry.at("rate").get<double>(),
                                         entry.at("burst").get<double>()};
        return epoch;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace Contracts
