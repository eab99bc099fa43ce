#include "originjournal.h"

#include <utils/jsonfield.h>
#include <utils/jsontext.h>

#include <algorithm>
#include <map>

namespace Gateway {

using Utils::StoreVersion;
using Utils::TimePoint;

namespace {

constexpr size_t MaxRecordsPerRow = 512;
/// A row with this many records isn't written again: others would read all of them again.
constexpr size_t MaxRewrittenRecords = 32;
/// Beyond these the oldest records of a gateway are given up.
constexpr size_t MaxRows = 256;
constexpr size_t MaxRecords = 8192;
constexpr size_t KeyBytes = sizeof(OriginLog::Key);
constexpr int BitsPerByte = 8;
constexpr OriginLog::Key LowByte = 0xff;

auto appendKey(std::string &text, OriginLog::Key key) -> void
{
    for (size_t i = 0; i < KeyBytes; ++i)
        text += static_cast<char>((key >> (BitsPerByte * i)) & LowByte);
}

auto readKey(std::string_view bytes) -> OriginLog::Key
{
    OriginLog::Key key = 0;
    for (size_t i = 0; i < KeyBytes; ++i)
        key |= OriginLog::Key(static_cast<unsigned char>(bytes[i])) << (BitsPerByte * i);
    return key;
}

/// A line of JSON, [[version, number of keys], ...], and the keys in that order.
auto formatRow(const std::vector<OriginJournal::Record> &records) -> std::string
{
    std::map<std::string, std::vector<OriginLog::Key>> keysByVersion;
    for (const auto &record : records)
        keysByVersion[record.version].push_back(record.key);
    nlohmann::json head = nlohmann::json::array();
    std::string keys;
    for (const auto &[version, versionKeys] : keysByVersion) {
        head.push_back({version, versionKeys.size()});
        for (const OriginLog::Key key : versionKeys)
            appendKey(keys, key);
    }
    return Utils::toJsonText(head) + '\n' + keys;
}

} // namespace

OriginJournal::OriginJournal(std::string prefix, Utils::Duration retention)
    : m_prefix(std::move(prefix))
    , m_retention(retention)
{ }

auto OriginJournal::parseRow(std::string_view text)
    -> Utils::Result<std::vector<Record>, std::string>
{
    const size_t end = text.find('\n');
    if (end == std::string_view::npos)
        return tl::unexpected(std::string("the row has no list of versions"));
    const auto head = Utils::parseJson(text.substr(0, end));
    if (!head || !head->is_array())
        return tl::unexpected(std::string("the list of versions can't be read"));
    std::string_view keys = text.substr(end + 1);
    std::vector<Record> records;
    for (const auto &item : *head) {
        if (!item.is_array() || item.size() != 2 || !item[0].is_string())
            return tl::unexpected(std::string("a version can't be read"));
        const auto count = Utils::wholeNumber<size_t>(item[1], 0, MaxRecordsPerRow);
        if (!count || *count * KeyBytes > keys.size())
            return tl::unexpected(std::string("the number of streams is wrong"));
        for (size_t i = 0; i < *count; ++i, keys.remove_prefix(KeyBytes))
            records.push_back({readKey(keys), item[0].get<std::string>()});
    }
    if (!keys.empty() || records.size() > MaxRecordsPerRow)
        return tl::unexpected(std::string("the number of streams is wrong"));
    return records;
}

auto OriginJournal::isOwn(const std::string &key) const -> bool
{
    return key.starts_with(m_prefix);
}

auto OriginJournal::add(const Record &record, TimePoint now) -> void
{
    if (m_rows.empty() || isFull(m_rows.back()))
        m_rows.push_back({makeRowKey(), {}, {}, now});
    JournalRow &row = m_rows.back();
    row.records.push_back(record);
    row.newestAt = now;
    row.isChanged = true;
    ++m_recordCount;
    if ((m_rows.size() > MaxRows || m_recordCount > MaxRecords) && !m_rows.front().isPending)
        dropFirstRow();
}

auto OriginJournal::takeWrite() -> std::optional<Write>
{
    const auto isPending = [](const JournalRow &row) { return row.isPending; };
    if (std::any_of(m_rows.begin(), m_rows.end(), isPending))
        return {};
    const auto row = std::find_if(m_rows.begin(), m_rows.end(),
                                  [](const JournalRow &item) { return item.isChanged; });
    if (row == m_rows.end())
        return {};
    row->isPending = true;
    row->isChanged = false;
    return Write{row->key, row->version, formatRow(row->records)};
}

auto OriginJournal::handleWritten(const std::string &key, const StoreVersion &version) -> void
{
    if (JournalRow *row = finishWrite(key))
        row->version = version;
}

auto OriginJournal::handleConflict(const std::string &key) -> void
{
    JournalRow *row = finishWrite(key);
    if (!row)
        return;
    row->key = makeRowKey();
    row->version = {};
    row->isChanged = true;
}

auto OriginJournal::handleFailure(const std::string &key) -> void
{
    if (JournalRow *row = finishWrite(key))
        row->isChanged = true;
}

auto OriginJournal::takeRemoval(TimePoint now) -> std::optional<Removal>
{
    if (!m_rows.empty() && !m_rows.front().isPending && now - m_rows.front().newestAt > m_retention)
        dropFirstRow();
    while (!m_dropped.empty()) {
        const Removal removal = m_dropped.front();
        m_dropped.pop_front();
        if (removal.expected.number > 0)
            return removal;
    }
    return {};
}

auto OriginJournal::writeAllAgain() -> void
{
    for (JournalRow &row : m_rows) {
        row.key = makeRowKey();
        row.version = {};
        row.isChanged = true;
        row.isPending = false;
    }
}

auto OriginJournal::hasWork() const -> bool
{
    return !m_rows.empty() || !m_dropped.empty();
}

auto OriginJournal::recordCount() const -> size_t
{
    return m_recordCount;
}

auto OriginJournal::isFull(const JournalRow &row) -> bool
{
    const bool isWritten = row.isPending || row.version.number > 0;
    return row.records.size() >= (isWritten ? MaxRewrittenRecords : MaxRecordsPerRow);
}

auto OriginJournal::dropFirstRow() -> void
{
    const JournalRow &row = m_rows.front();
    m_recordCount -= row.records.size();
    m_dropped.push_back({row.key, row.version});
    m_rows.pop_front();
}

auto OriginJournal::makeRowKey() -> std::string
{
    return m_prefix + std::to_string(m_nextRow++);
}

auto OriginJournal::finishWrite(const std::string &key) -> JournalRow *
{
    const auto row = std::find_if(m_rows.begin(), m_rows.end(), [&key](const JournalRow &item) {
        return item.isPending && item.key == key;
    });
    if (row == m_rows.end())
        return nullptr;
    row->isPending = false;
    return &*row;
}

} // namespace Gateway
