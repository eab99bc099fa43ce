#pragma once

#include <control/controlnode.h>
#include <storage/tableservice.h>

#include <functional>
#include <memory>
#include <vector>

namespace Storage {

class ObjectStore;

/// Why an operation of the control store failed.
enum class ControlStoreError {
    Unavailable, ///< No answer; a commit may have taken effect.
    Conflict, ///< Another change has this revision, or an extra condition failed.
    Damaged, ///< The stored data is not valid.
};

/// Stores the control state in the platform's table as a head row and one row per revision, and
/// snapshots for readers that are far behind in the object store.
class ControlStore
{
public:
    using ReadCallback =
        std::function<void(const Utils::Result<Control::StoreAnswer, ControlStoreError> &)>;
    using CommitCallback = std::function<void(const Utils::Result<void, ControlStoreError> &)>;

    ControlStore(TableService &table, ObjectStore &objects);
    ~ControlStore();

    /// Reads everything after a revision in one consistent read.
    auto readAfter(Control::Revision after, ReadCallback done) -> void;
    /// Commits the change if the head is still the preceding revision and all `conditions` hold.
    auto commit(const Control::Change &change, const std::vector<TableCondition> &conditions,
                CommitCallback done) -> void;
    /// Writes a snapshot and deletes the rows that no reader needs any more. Failures are harmless.
    auto writeSnapshot(const Control::ControlState &state) -> void;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace Storage
