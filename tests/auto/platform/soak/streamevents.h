#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Soak {

/// An event of an emulated engine's stream.
struct StreamEvent
{
    std::int64_t id = 0;
    std::string attempt; ///< Under which the engine ran it.
    std::string version; ///< Of the software that wrote it.

    /// The event as engines send it.
    auto toText() const -> std::string;
};

/// Reads the events that a caller received; an incomplete one at the end is left out. Returns
/// nothing if a complete one isn't an event of an emulated engine.
auto parseEvents(std::string_view text) -> std::optional<std::vector<StreamEvent>>;

} // namespace Soak
