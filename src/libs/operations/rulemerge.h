#pragma once

#include <control/controlstate.h>
#include <rules/rule.h>
#include <storage/controlwriter.h>

#include <optional>
#include <string>
#include <vector>

namespace Operations {

/// A line that two operators changed in different ways.
struct LineConflict
{
    std::string key;
    std::string mine; ///< Empty when deleted.
    std::string theirs; ///< Empty when deleted.
    std::string theirPerson; ///< The person who requested their change.
};

/// One line that differs.
struct LineChange
{
    enum class Kind { Added, Changed, Removed };
    Kind kind = Kind::Added;
    std::string before;
    std::string after;
};

/// The result of merging a rules file.
struct MergeResult
{
    Storage::ControlEdit edit;
    std::vector<LineChange> changes;
    std::vector<LineConflict> conflicts;
};

/// Merges a complete rules file, edited from the rules at `base`, into the current rules. Lines
/// that one side changed are merged; lines that both sides changed differently are conflicts.
auto mergeRules(const Control::ControlState &state, Control::Revision base,
                const std::vector<Rules::Rule> &rules) -> MergeResult;

/// Removes a key from all lines that grant it. Returns an error if no line does.
auto withdrawKey(const Control::ControlState &state, const std::string &keyHash)
    -> Utils::Result<Storage::ControlEdit, std::string>;

/// The rules at the current revision as a file that can be edited and merged with `mergeRules`.
auto rulesFileText(const Control::ControlState &state) -> std::string;
/// The revision that a rules file was edited from, as stated in the file.
auto baseRevisionOf(const std::string &fileText) -> std::optional<Control::Revision>;

} // namespace Operations
