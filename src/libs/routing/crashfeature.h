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
        /// Customer, target and body: the same request, repeated, until its answer has begun.
        Request,
        Run, ///< The same, for as long as it runs.
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

/// Adds the feature of the whole run to those of a request.
auto withRun(std::vector<CrashFeature> features) -> std::vector<CrashFeature>;
/// The features that a crash is evidence against: what crashes a server at the beginning of an
/// answer has not done so once the answer goes on, but the run of the request may still do.
auto suspectsOf(const std::vector<CrashFeature> &features, bool hasOutlivedBeginning)
    -> std::vector<CrashFeature>;
/// The features that an answer clears: all of them only if it is whole.
auto clearedBy(const std::vector<CrashFeature> &features, bool isWhole)
    -> std::vector<CrashFeature>;

} // namespace Routing
