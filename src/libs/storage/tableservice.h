#pragma once

#include <storage/tabletransaction.h>
#include <utils/result.h>

#include <functional>
#include <string>
#include <vector>

namespace Storage {

/// Why an operation of the table service failed.
enum class TableError {
    Unavailable, ///< No answer; a transaction may have taken effect.
    Conflict, ///< A condition did not hold; nothing took effect.
    Malformed, ///< The answer is not valid.
};

/// The operations of the platform's transactional table that this project uses.
class TableService
{
public:
    using RowCallback = std::function<void(const Utils::Result<TableRow, TableError> &)>;
    using RowsCallback =
        std::function<void(const Utils::Result<std::vector<TableRow>, TableError> &)>;
    using CommitCallback = std::function<void(const Utils::Result<void, TableError> &)>;

    virtual ~TableService() = default;
    /// Returns version 0 for a missing row.
    virtual auto read(const std::string &key, RowCallback done) -> void = 0;
    /// Returns at most `limit` rows with first <= key < last, ordered by key.
    virtual auto scan(const std::string &first, const std::string &last, size_t limit,
                      RowsCallback done) -> void = 0;
    virtual auto commit(const TableTransaction &transaction, CommitCallback done) -> void = 0;
};

} // namespace Storage
