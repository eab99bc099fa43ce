#pragma once

#include <utils/result.h>
#include <utils/storeversion.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

/// One row of a table in the platform's store.
struct Row
{
    std::string key;
    std::string value; ///< Raw bytes.
    Utils::StoreVersion version;
    bool isRemoved = false; ///< Only in changes.
    /// Reason why the value could not be decoded; the value is empty then.
    std::optional<std::string> fault = std::nullopt;
};

/// Rows, or changes of rows, and the store's version that they lead to.
struct RowSet
{
    std::vector<Row> rows;
    Utils::StoreVersion version;
    bool hasMore = false; ///< More rows follow after the last key.
};

enum class StoreError {
    Unavailable, ///< No answer, or the call was rejected; a write may have taken effect.
    HistoryGone, ///< The store no longer keeps the changes after that version.
    Conflict, ///< The row has another version; nothing was written.
    Malformed, ///< The answer could not be parsed.
};

/// Tables that instances can read, follow and change; the store orders all changes.
class RowStore
{
public:
    using RowsCallback = std::function<void(const Utils::Result<RowSet, StoreError> &)>;
    /// Called when a part of the answer has arrived.
    using ProgressCallback = std::function<void()>;
    /// Receives the version of the written row.
    using WriteCallback =
        std::function<void(const Utils::Result<Utils::StoreVersion, StoreError> &)>;

    /// Names a pending call.
    using CallId = std::uint64_t;

    virtual ~RowStore() = default;
    /// Lists the rows of a table from key `from` on.
    virtual auto list(const std::string &table, const std::string &from, ProgressCallback progress,
                      RowsCallback done) -> CallId = 0;
    /// Long poll: returns the changes after a version as soon as there are any, or nothing once
    /// `wait` has passed. An answer of another era than that of `after` lacks changes.
    virtual auto changes(const std::string &table, const Utils::StoreVersion &after,
                         std::chrono::milliseconds wait, ProgressCallback progress,
                         RowsCallback done) -> CallId = 0;
    /// Stops the transfer of a call's answer; its callbacks are not called any more. Does nothing
    /// if the call has ended.
    virtual auto abandon(CallId call) -> void = 0;
    /// Writes a row if it still has the number of `expectedVersion`, in whichever era.
    virtual auto write(const std::string &table, const std::string &key,
                       const Utils::StoreVersion &expectedVersion, const std::string &value,
                       WriteCallback done) -> void = 0;
    /// Removes a row if it still has the number of `expectedVersion`, in whichever era.
    virtual auto remove(const std::string &table, const std::string &key,
                        const Utils::StoreVersion &expectedVersion, WriteCallback done) -> void = 0;
};

} // namespace Gateway
