#include "controlstate.h"

#include "controlconstants.h"

#include <rules/ruleparser.h>

#include <algorithm>
#include <utils/jsonfield.h>

namespace Control {

using nlohmann::json;

const std::string ruleItemPrefix = "rule/";
const std::string acceptedRegisterItemKey = "accepted/register";

namespace {

const std::string instancePrefix = "instance/";

auto startsWith(const std::string &text, const std::string &prefix) -> bool
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

auto touches(const Change &change, const std::string &prefix) -> bool
{
    const auto hasPrefix = [&prefix](const std::string &key) { return startsWith(key, prefix); };
    const bool puts =
        std::any_of(change.puts.begin(), change.puts.end(),
                    [&hasPrefix](const auto &entry) { return hasPrefix(entry.first); });
    return puts || std::any_of(change.deletes.begin(), change.deletes.end(), hasPrefix);
}

auto namesOf(const Registry &registry) -> std::set<std::string>
{
    std::set<std::string> names;
    for (const auto &[name, instance] : registry)
        names.insert(name);
    return names;
}

} // namespace

auto ruleItem(const Rules::Rule &rule) -> json
{
    return {{"text", rule.source.text}, {"person", rule.source.person}, {"line", rule.source.line}};
}

auto ControlState::revision() const -> Revision
{
    return m_revision;
}

auto ControlState::items() const -> const std::map<std::string, Item> &
{
    return m_items;
}

auto ControlState::item(const std::string &key) const -> const Item *
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? nullptr : &found->second;
}

auto ControlState::itemsUnder(const std::string &prefix) const
    -> std::map<std::string, const Item *>
{
    std::map<std::string, const Item *> found;
    for (auto at = m_items.lower_bound(prefix);
         at != m_items.end() && startsWith(at->first, prefix); ++at)
        found.emplace(at->first.substr(prefix.size()), &at->second);
    return found;
}

auto ControlState::registry() const -> const Registry &
{
    return m_registry;
}

auto ControlState::registerVersions() const -> const std::vector<RegisterVersion> &
{
    return m_registerVersions;
}

auto ControlState::rules() const -> const Rules::RuleSet &
{
    return m_rules;
}

auto ControlState::apply(const Change &change) -> bool
{
    if (change.revision != m_revision + 1)
        return false;
    m_revision = change.revision;
    for (const auto &key : change.deletes)
        m_items.erase(key);
    for (const auto &[key, value] : change.puts)
        m_items[key] = {value, change.revision};
    m_changes.push_back(change);
    if (m_changes.size() > Constants::MaxKeptChanges)
        m_changes.pop_front();
    if (touches(change, instancePrefix))
        rebuildRegistry();
    if (change.puts.count(acceptedRegisterItemKey) > 0)
        dropSupersededRegisters();
    if (touches(change, ruleItemPrefix))
        rebuildRules();
    return true;
}

auto ControlState::changesAfter(Revision revision) const -> std::optional<std::vector<Change>>
{
    if (revision >= m_revision)
        return std::vector<Change>();
    if (m_changes.empty() || m_changes.front().revision > revision + 1)
        return std::nullopt;
    const size_t skipped = revision + 1 - m_changes.front().revision;
    return std::vector<Change>(m_changes.begin() + static_cast<std::ptrdiff_t>(skipped),
                               m_changes.end());
}

auto ControlState::keptChanges() const -> const std::deque<Change> &
{
    return m_changes;
}

auto ControlState::toSnapshot() const -> json
{
    json registers = json::array();
    for (const auto &version : m_registerVersions)
        registers.push_back({{"since", version.since}, {"names", version.names}});
    json items = json::object();
    for (const auto &[key, item] : m_items)
        items[key] = {{"value", item.value}, {"revision", item.revision}};
    return {{"revision", m_revision}, {"items", items}, {"registers", registers}};
}

auto ControlState::restore(const json &snapshot) -> bool
{
    try {
        const auto revision = snapshot.at("revision").get<Revision>();
        if (revision <= m_revision)
            return false;
        std::map<std::string, Item> items;
        for (const auto &[key, entry] : snapshot.at("items").items())
            items[key] = {entry.at("value"), entry.at("revision").get<Revision>()};
        std::vector<RegisterVersion> versions;
        for (const auto &entry : snapshot.at("registers"))
            versions.push_back({entry.at("since").get<Revision>(),
                                entry.at("names").get<std::set<std::string>>()});
        m_registerVersions = std::move(versions);
        m_items = std::move(items);
        m_revision = revision;
        m_changes.clear();
    } catch (const json::exception &) {
        return false;
    }
    rebuildRegistry();
    rebuildRules();
    return true;
}

auto ControlState::rebuildRegistry() -> void
{
    m_registry.clear();
    for (const auto &[name, item] : itemsUnder(instancePrefix)) {
        if (const auto instance = instanceFromJson(item->value))
            m_registry[name] = *instance;
    }
    auto names = namesOf(m_registry);
    if (m_registerVersions.empty() || m_registerVersions.back().names != names)
        m_registerVersions.push_back({m_revision, std::move(names)});
}

auto ControlState::dropSupersededRegisters() -> void
{
    const auto *mark = item(acceptedRegisterItemKey);
    const Revision accepted = mark ? Utils::fieldOr(mark->value, "revision", Revision(0)) : 0;
    auto &versions = m_registerVersions;
    while (versions.size() > 1 && versions[1].since <= accepted)
        versions.erase(versions.begin());
}

auto ControlState::rebuildRules() -> void
{
    std::vector<Rules::Rule> rules;
    for (const auto &[key, item] : itemsUnder(ruleItemPrefix)) {
        auto rule = Rules::parseRule(Utils::fieldOr(item->value, "text", ""),
                                     Utils::fieldOr(item->value, "line", 0));
        if (!rule || !*rule)
            continue;
        (*rule)->source.revision = item->revision;
        rules.push_back(std::move(**rule));
    }
    m_rules = Rules::RuleSet(rules);
}

} // namespace Control
