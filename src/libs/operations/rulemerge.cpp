#include "rulemerge.h"

#include <map>
#include <set>
#include <sstream>
#include <utils/jsonfield.h>

namespace Operations {

using Control::ControlState;
using Control::Revision;

namespace {

const std::string baseMarker = "# base revision ";

/// Text of a line; nothing if the line does not exist.
using LineText = std::optional<std::string>;

auto textOf(const nlohmann::json &value) -> std::string
{
    return Utils::fieldOr(value, "text", "");
}

auto currentText(const ControlState &state, const std::string &itemKey) -> LineText
{
    const auto *item = state.item(itemKey);
    return item ? LineText(textOf(item->value)) : std::nullopt;
}

/// The keys that were changed after `base`, and their texts at `base` as far as the kept changes
/// show them.
struct History
{
    std::set<std::string> changedKeys;
    std::map<std::string, LineText> baseTexts;
    bool isComplete = true;
};

auto readHistory(const ControlState &state, Revision base) -> History
{
    History history;
    const auto laterChanges = state.changesAfter(base);
    history.isComplete = laterChanges.has_value();
    for (const auto &change : laterChanges.value_or(std::vector<Control::Change>())) {
        for (const auto &[key, value] : change.puts)
            history.changedKeys.insert(key);
        history.changedKeys.insert(change.deletes.begin(), change.deletes.end());
    }
    const auto &kept = state.keptChanges();
    for (const auto &change : kept) {
        if (change.revision > base)
            break;
        for (const auto &key : change.deletes)
            history.baseTexts[key] = std::nullopt;
        for (const auto &[key, value] : change.puts)
            history.baseTexts[key] = textOf(value);
    }
    // If the kept changes start at revision 1, a key that they do not contain did not exist.
    if (!kept.empty() && kept.front().revision == 1) {
        for (const auto &key : history.changedKeys)
            history.baseTexts.try_emplace(key, std::nullopt);
    }
    return history;
}

/// Merges line by line.
class Merger
{
public:
    Merger(const ControlState &state, Revision base)
        : m_state(state)
        , m_history(readHistory(state, base))
    { }

    auto mergeLine(const std::string &key, const Rules::Rule *rule) -> void
    {
        const std::string itemKey = Control::ruleItemPrefix + key;
        const LineText mine = rule ? LineText(rule->source.text) : std::nullopt;
        const LineText theirs = currentText(m_state, itemKey);
        if (mine == theirs)
            return;
        if (m_history.changedKeys.count(itemKey) > 0 || !m_history.isComplete) {
            const auto known = m_history.baseTexts.find(itemKey);
            // Only the other side changed the line, so their text stays.
            if (known != m_history.baseTexts.end() && known->second == mine)
                return;
            if (known == m_history.baseTexts.end() || known->second != theirs) {
                addConflict(key, itemKey, mine, theirs);
                return;
            }
        }
        if (rule)
            result.edit.puts[itemKey] = Control::ruleItem(*rule);
        else
            result.edit.deletes.push_back(itemKey);
        const auto kind = !theirs ? LineChange::Kind::Added
            : !mine               ? LineChange::Kind::Removed
                                  : LineChange::Kind::Changed;
        result.changes.push_back({kind, theirs.value_or(""), mine.value_or("")});
    }

    MergeResult result;

private:
    auto addConflict(const std::string &key, const std::string &itemKey, const LineText &mine,
                     const LineText &theirs) -> void
    {
        const auto *item = m_state.item(itemKey);
        const std::string person = item ? Utils::fieldOr(item->value, "person", "") : std::string();
        result.conflicts.push_back({key, mine.value_or(""), theirs.value_or(""), person});
    }

    const ControlState &m_state;
    History m_history;
};

} // namespace

auto mergeRules(const ControlState &state, Revision base, const std::vector<Rules::Rule> &rules)
    -> MergeResult
{
    Merger merger(state, base);
    std::set<std::string> wanted;
    for (const auto &rule : rules) {
        wanted.insert(rule.key());
        merger.mergeLine(rule.key(), &rule);
    }
    for (const auto &[key, item] : state.itemsUnder(Control::ruleItemPrefix)) {
        if (wanted.count(key) == 0)
            merger.mergeLine(key, nullptr);
    }
    return merger.result;
}

auto withdrawKey(const ControlState &state, const std::string &keyHash)
    -> Utils::Result<Storage::ControlEdit, std::string>
{
    Storage::ControlEdit edit;
    const std::string keyItem = Control::ruleItemPrefix + "key/" + keyHash;
    if (state.item(keyItem))
        edit.deletes.push_back(keyItem);
    const std::string keyClause = " key sha256:" + keyHash;
    for (const auto &[key, item] : state.itemsUnder(Control::ruleItemPrefix + "customer/")) {
        nlohmann::json value = item->value;
        std::string text = textOf(value);
        const auto at = text.find(keyClause);
        if (at == std::string::npos)
            continue;
        value["text"] = text.erase(at, keyClause.size());
        edit.puts[Control::ruleItemPrefix + "customer/" + key] = value;
    }
    if (edit.isEmpty())
        return tl::unexpected("no line grants the key sha256:" + keyHash);
    return edit;
}

auto rulesFileText(const ControlState &state) -> std::string
{
    std::string text = baseMarker + std::to_string(state.revision()) + "\n";
    for (const auto &[key, item] : state.itemsUnder(Control::ruleItemPrefix))
        text += textOf(item->value) + "\n";
    return text;
}

auto baseRevisionOf(const std::string &fileText) -> std::optional<Revision>
{
    std::istringstream lines(fileText);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.rfind(baseMarker, 0) != 0)
            continue;
        std::istringstream number(line.substr(baseMarker.size()));
        Revision revision = 0;
        if (number >> revision)
            return revision;
    }
    return std::nullopt;
}

} // namespace Operations
