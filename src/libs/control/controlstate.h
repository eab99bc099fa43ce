#pragma once

#include <control/change.h>
#include <control/registerversion.h>
#include <control/registry.h>
#include <rules/ruleset.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Control {

/// One item and the revision that last wrote it.
struct Item
{
    nlohmann::json value;
    Revision revision = 0;
};

/// The control data at one revision, and the latest changes for peers that are behind.
class ControlState
{
public:
    auto revision() const -> Revision;
    auto items() const -> const std::map<std::string, Item> &;
    auto item(const std::string &key) const -> const Item *;
    /// Items whose key starts with `prefix`, by key without the prefix.
    auto itemsUnder(const std::string &prefix) const -> std::map<std::string, const Item *>;
    auto registry() const -> const Registry &;
    /// The registers that some node may still use, the current one last: the latest register that
    /// is marked as accepted and all later ones.
    auto registerVersions() const -> const std::vector<RegisterVersion> &;
    auto rules() const -> const Rules::RuleSet &;

    /// Applies a change. Returns false without effect if it does not follow the current revision.
    auto apply(const Change &change) -> bool;
    /// The changes after `revision` in order; nothing if some of them are no longer kept.
    auto changesAfter(Revision revision) const -> std::optional<std::vector<Change>>;

    /// The latest changes, oldest first.
    auto keptChanges() const -> const std::deque<Change> &;
    auto toSnapshot() const -> nlohmann::json;
    /// Replaces the whole state with the snapshot if the snapshot is newer.
    auto restore(const nlohmann::json &snapshot) -> bool;

private:
    auto rebuildRegistry() -> void;
    auto dropSupersededRegisters() -> void;
    auto rebuildRules() -> void;

    Revision m_revision = 0;
    std::map<std::string, Item> m_items;
    std::deque<Change> m_changes;
    Registry m_registry;
    std::vector<RegisterVersion> m_registerVersions;
    Rules::RuleSet m_rules;
};

/// Key prefix of the items that hold the lines of the rules file.
extern const std::string ruleItemPrefix;

/// Item {"revision": r}: revision r was accepted, so no node uses a register from before it.
extern const std::string acceptedRegisterItemKey;

/// The item that holds one rule's line.
auto ruleItem(const Rules::Rule &rule) -> nlohmann::json;

} // namespace Control
