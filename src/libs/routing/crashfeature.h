#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Routing {

/// What several requests may have in common that crashes backend servers.
struct CrashFeature
{
    enum class Kind {
        Request, ///< Customer, target and body: the same request, repeated.
        Part, ///< One part of the prompt.
    };

    Kind kind = Kind::Request;
    std::uint64_t hash = 0;

    auto operator==(const CrashFeature &) const -> bool = default;
    auto operator<(const CrashFeature &other) const -> bool
    {
        return std::tie(kind, hash) < std::tie(other.kind, other.hash);
    }
    /// For messages and the log.
    auto toString() const -> std::string;
    static auto fromString(const std::string &text) -> std::optional<CrashFeature>;
};

/// The features of a request: the whole, and each part of its prompt but the last one, which
/// belongs to the request itself. The number of parts is limited.
auto crashFeaturesOf(const std::string &customer, const std::string &target,
                     const std::string &body, const std::vector<std::string> &parts)
    -> std::vector<CrashFeature>;

} // namespace Routing
