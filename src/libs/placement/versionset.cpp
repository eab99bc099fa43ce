#include "versionset.h"

#include <utils/jsonfield.h>
#include <utils/jsontext.h>

#include <algorithm>

namespace Placement {

using nlohmann::json;
using Utils::StoreEra;

namespace {

auto readNames(const json &document, const char *field)
    -> Utils::Result<std::set<std::string>, std::string>
{
    const auto list = document.find(field);
    if (list == document.end() || !list->is_array() || list->size() > VersionSet::MaxVersions)
        return tl::unexpected(std::string("the row has no list of versions"));
    std::set<std::string> names;
    for (const json &item : *list) {
        if (!item.is_string() || item != VersionSet::normalized(item.get<std::string>()))
            return tl::unexpected(std::string("a version can't be read"));
        names.insert(item.get<std::string>());
    }
    return names;
}

} // namespace

auto VersionSet::normalized(const std::string &version) -> std::string
{
    if (version.size() > MaxVersionLength)
        return {};
    constexpr unsigned char firstNonAscii = 0x80;
    if (std::all_of(version.begin(), version.end(),
                    [](unsigned char c) { return c < firstNonAscii; }))
        return version;
    const std::string text = Utils::toJsonText(version);
    const auto read = Utils::parseJson(text);
    return read && *read == version ? version : std::string();
}

auto VersionSet::parse(std::string_view text) -> Utils::Result<VersionSet, std::string>
{
    const auto document = Utils::parseJson(text);
    if (!document || !document->is_object())
        return tl::unexpected(std::string("the row is no JSON object"));
    VersionSet set;
    auto names = readNames(*document, "versions");
    if (!names)
        return tl::unexpected(names.error());
    set.m_names = std::move(*names);
    if (document->contains("retiring")) {
        auto retiring = readNames(*document, "retiring");
        if (!retiring)
            return tl::unexpected(retiring.error());
        set.m_retiring = std::move(*retiring);
    }
    if (!std::includes(set.m_names.begin(), set.m_names.end(), set.m_retiring.begin(),
                       set.m_retiring.end()))
        return tl::unexpected(std::string("a version that is retiring is missing"));
    const auto confirmed = document->find("confirmed");
    if (confirmed == document->end())
        return set;
    const auto era = Utils::wholeNumber<std::uint64_t>(*confirmed);
    if (!era)
        return tl::unexpected(std::string("the era is no whole number"));
    set.m_confirmedIn = StoreEra(*era);
    return set;
}

auto VersionSet::toText() const -> std::string
{
    json document = {{"versions", m_names}};
    if (!m_retiring.empty())
        document["retiring"] = m_retiring;
    if (m_confirmedIn)
        document["confirmed"] = static_cast<std::uint64_t>(*m_confirmedIn);
    return Utils::toJsonText(document);
}

auto VersionSet::names() const -> const std::set<std::string> &
{
    return m_names;
}

auto VersionSet::contains(const std::string &version) const -> bool
{
    return m_names.count(version) > 0;
}

auto VersionSet::add(const std::string &version) -> bool
{
    if (m_names.size() >= MaxVersions && !contains(version))
        return false;
    m_names.insert(version);
    m_retiring.erase(version);
    return true;
}

auto VersionSet::retire(const std::string &version) -> void
{
    if (contains(version))
        m_retiring.insert(version);
}

auto VersionSet::isRetiring(const std::string &version) const -> bool
{
    return m_retiring.count(version) > 0;
}

auto VersionSet::remove(const std::string &version) -> void
{
    m_names.erase(version);
    m_retiring.erase(version);
}

auto VersionSet::confirm(StoreEra era) -> void
{
    m_confirmedIn = era;
}

auto VersionSet::isConfirmed(StoreEra era) const -> bool
{
    return m_confirmedIn == era;
}

auto VersionSet::onlyVersion(StoreEra era) const -> std::optional<std::string>
{
    if (!isConfirmed(era) || m_names.size() != 1 || m_names.begin()->empty())
        return {};
    return *m_names.begin();
}

} // namespace Placement
