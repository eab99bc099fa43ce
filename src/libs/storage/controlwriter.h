#pragma once

#include <control/controlnode.h>
#include <storage/controlstore.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Storage {

/// The changes of a proposal, computed from the state that it is based on.
struct ControlEdit
{
    std::map<std::string, nlohmann::json> puts;
    std::vector<std::string> deletes;
    std::vector<TableCondition> conditions; ///< Further rows whose version must not have changed.

    auto isEmpty() const -> bool { return puts.empty() && deletes.empty(); }
};

/// A requested change of the control state. `edit` runs on each newer state until its result is
/// committed. It returns an error to withdraw the proposal.
struct Proposal
{
    std::string author;
    std::string reason;
    std::function<Utils::Result<ControlEdit, std::string>(const Control::ControlState &)> edit;
};

/// Why a proposal was not committed.
struct ProposalError
{
    enum class Kind { Withdrawn, Unavailable, TooManyConflicts };
    Kind kind = Kind::Unavailable;
    std::string detail;
    /// True if the answer to an attempt was lost, so that the change may still take effect.
    bool mayHaveTakenEffect = false;
};

/// Commits proposals one at a time by compare-and-swap. If the answer to a commit is lost, the
/// proposal's token in the log shows whether it took effect, so no proposal is committed twice.
class ControlWriter
{
public:
    using DoneCallback =
        std::function<void(const Utils::Result<Control::Revision, ProposalError> &)>;

    /// Changes that are read or committed are also applied to `node`.
    ControlWriter(Control::ControlNode &node, ControlStore &store);
    ~ControlWriter();

    /// Passes to `done` the revision that contains the proposal, or the current one if the proposal
    /// changes nothing.
    auto propose(Proposal proposal, DoneCallback done) -> void;
    auto isBusy() const -> bool;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace Storage
