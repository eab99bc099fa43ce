#pragma once

#include "originlog.h"

#include <utils/result.h>
#include <utils/storeversion.h>
#include <utils/timepoint.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Gateway {

/// The rows in which one run of a gateway records at which versions streams began. A row takes
/// records until it is full. Keys aren't used again, neither by this run nor by a later one: a
/// write that got no answer may still be carried out. Does no I/O itself.
class OriginJournal
{
public:
    struct Record
    {
        OriginLog::Key key = 0;
        std::string version;

        auto operator==(const Record &) const -> bool = default;
    };

    struct Write
    {
        std::string key;
        Utils::StoreVersion expected;
        std::string value;
    };

    struct Removal
    {
        std::string key;
        Utils::StoreVersion expected;
    };

    /// The prefix differs from that of any other run of a gateway.
    OriginJournal(std::string prefix, Utils::Duration retention);

    static auto parseRow(std::string_view text) -> Utils::Result<std::vector<Record>, std::string>;

    auto isOwn(const std::string &key) const -> bool;
    auto add(const Record &record, Utils::TimePoint now) -> void;
    /// The next row to be written. One write is pending at a time.
    auto takeWrite() -> std::optional<Write>;
    auto handleWritten(const std::string &key, const Utils::StoreVersion &version) -> void;
    /// The row exists already or was removed: its records go to another row.
    auto handleConflict(const std::string &key) -> void;
    /// The write may have been carried out; it is repeated.
    auto handleFailure(const std::string &key) -> void;
    /// A row whose records are all older than the retention; it is forgotten here.
    auto takeRemoval(Utils::TimePoint now) -> std::optional<Removal>;
    /// The store may have lost the newest rows.
    auto writeAllAgain() -> void;
    auto hasWork() const -> bool;
    auto recordCount() const -> size_t;

private:
    struct JournalRow
    {
        std::string key;
        Utils::StoreVersion version;
        std::vector<Record> records;
        Utils::TimePoint newestAt;
        bool isChanged = true;
        bool isPending = false;
    };

    static auto isFull(const JournalRow &row) -> bool;
    auto dropFirstRow() -> void;
    auto makeRowKey() -> std::string;
    /// Ends the row's pending write. Returns null if its records have gone to another row.
    auto finishWrite(const std::string &key) -> JournalRow *;

    std::string m_prefix;
    Utils::Duration m_retention;
    std::uint64_t m_nextRow = 0;
    std::deque<JournalRow> m_rows;
    size_t m_recordCount = 0; ///< In all rows.
    std::deque<Removal> m_dropped;
};

} // namespace Gateway
