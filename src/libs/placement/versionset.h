#pragma once

#include <utils/result.h>
#include <utils/storeversion.h>

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Placement {

/// The software versions of a service's servers at which a stream that is still alive can have
/// begun, as a row of the platform's store holds them. The empty version stands for servers that
/// name none.
class VersionSet
{
public:
    static constexpr size_t MaxVersions = 32;
    static constexpr size_t MaxVersionLength = 200;

    /// A version as the set holds it: one that is too long or isn't UTF-8 counts as none.
    static auto normalized(const std::string &version) -> std::string;
    static auto parse(std::string_view text) -> Utils::Result<VersionSet, std::string>;
    auto toText() const -> std::string;

    auto names() const -> const std::set<std::string> &;
    auto contains(const std::string &version) const -> bool;
    /// Adds a version that is in use. Returns false if the set is full.
    auto add(const std::string &version) -> bool;
    /// The version seems to be out of use. It stays in the set until it is removed; a gateway that
    /// begins streams at it adds it again before.
    auto retire(const std::string &version) -> void;
    auto isRetiring(const std::string &version) const -> bool;
    auto remove(const std::string &version) -> void;
    /// The set was complete in that era; in a later one it may lack versions.
    auto confirm(Utils::StoreEra era) -> void;
    auto isConfirmed(Utils::StoreEra era) const -> bool;
    /// The version of all streams that are alive; unset if there may be several, or none is named.
    auto onlyVersion(Utils::StoreEra era) const -> std::optional<std::string>;

    auto operator==(const VersionSet &) const -> bool = default;

private:
    std::set<std::string> m_names;
    std::set<std::string> m_retiring; ///< Also in `m_names`.
    std::optional<Utils::StoreEra> m_confirmedIn;
};

} // namespace Placement
