#include "controlwriter.h"

#include <control/controlconstants.h>
#include <utils/hashing.h>
#include <utils/wallclock.h>

#include <chrono>
#include <deque>

namespace Storage {

using Control::Change;
using Control::Revision;

namespace {

constexpr int maxCommitAttempts = 12;
constexpr int tokenBytes = 12;

} // namespace

struct ControlWriter::Private : std::enable_shared_from_this<ControlWriter::Private>
{
    struct QueuedProposal
    {
        Proposal proposal;
        DoneCallback done;
        std::string token;
        int attempts = 0;
        bool answerLost = false;
    };

    Control::ControlNode &node;
    ControlStore &store;
    std::deque<QueuedProposal> queue;
    bool isRunning = false;

    Private(Control::ControlNode &controlNode, ControlStore &controlStore)
        : node(controlNode)
        , store(controlStore)
    { }

    auto start() -> void
    {
        if (isRunning || queue.empty())
            return;
        isRunning = true;
        refresh();
    }

    auto finish(const Utils::Result<Revision, ProposalError> &result) -> void
    {
        const auto done = std::move(queue.front().done);
        queue.pop_front();
        isRunning = false;
        done(result);
        start();
    }

    auto fail(ProposalError::Kind kind, const std::string &detail) -> void
    {
        finish(tl::unexpected(ProposalError{kind, detail, queue.front().answerLost}));
    }

    /// Reads the log up to its head and searches it for this proposal's token.
    auto refresh() -> void
    {
        const Revision after = node.state().revision();
        store.readAfter(after, [self = shared_from_this()](const auto &answer) {
            if (answer)
                self->handleLog(*answer);
            else
                self->fail(ProposalError::Kind::Unavailable,
                           "cannot read the control state from the store");
        });
    }

    auto handleLog(const Control::StoreAnswer &answer) -> void
    {
        node.applyStoreRead(answer);
        for (const auto &change : answer.changes) {
            if (change.token == queue.front().token) {
                finish(change.revision);
                return;
            }
        }
        if (node.state().revision() < answer.head)
            refresh();
        else
            tryCommit();
    }

    auto tryCommit() -> void
    {
        QueuedProposal &queued = queue.front();
        if (wasCommittedEarlier(queued))
            return;
        const auto edit = queued.proposal.edit(node.state());
        if (!edit) {
            fail(ProposalError::Kind::Withdrawn, edit.error());
            return;
        }
        if (edit->isEmpty()) {
            finish(node.state().revision());
            return;
        }
        if (++queued.attempts > maxCommitAttempts) {
            fail(ProposalError::Kind::TooManyConflicts,
                 "another change was committed first in every attempt");
            return;
        }
        Change change{node.state().revision() + 1,
                      queued.token,
                      queued.proposal.author,
                      queued.proposal.reason,
                      Utils::wallClock().count(),
                      edit->puts,
                      edit->deletes};
        store.commit(change, edit->conditions,
                     [self = shared_from_this(), change](const auto &result) {
                         self->handleCommitResult(change, result);
                     });
    }

    /// Checks whether an attempt whose answer was lost took effect and the node's periodic pull has
    /// already read its change.
    auto wasCommittedEarlier(const QueuedProposal &queued) -> bool
    {
        if (!queued.answerLost)
            return false;
        const auto kept = node.state().changesAfter(queued.attempts > 0 ? lostAttemptBase
                                                                        : node.state().revision());
        if (!kept)
            return false;
        for (const auto &change : *kept) {
            if (change.token == queued.token) {
                finish(change.revision);
                return true;
            }
        }
        return false;
    }

    auto handleCommitResult(const Change &change,
                            const Utils::Result<void, ControlStoreError> &result) -> void
    {
        if (result) {
            node.applyCommittedChange(change);
            if (change.revision % Control::Constants::SnapshotInterval == 0)
                store.writeSnapshot(node.state());
            finish(change.revision);
            return;
        }
        if (result.error() != ControlStoreError::Conflict && !queue.front().answerLost) {
            queue.front().answerLost = true;
            lostAttemptBase = change.revision - 1;
        }
        refresh();
    }

    Revision lostAttemptBase = 0;
};

ControlWriter::ControlWriter(Control::ControlNode &node, ControlStore &store)
    : d(std::make_shared<Private>(node, store))
{ }

ControlWriter::~ControlWriter() = default;

auto ControlWriter::propose(Proposal proposal, DoneCallback done) -> void
{
    d->queue.push_back(
        {std::move(proposal), std::move(done), Utils::randomHex(tokenBytes), 0, false});
    d->start();
}

auto ControlWriter::isBusy() const -> bool
{
    return d->isRunning;
}

} // namespace Storage
