#pragma once

#include <utils/timepoint.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Gateway {

/// Tells which version of its servers' software began a stream: streams may only be continued by
/// that version. An empty version is one that the list of servers doesn't name; it equals none.
class StreamOrigins
{
public:
    using Ticket = std::uint64_t;
    /// Receives the version; unset if it can't be proved.
    using Callback = std::function<void(const std::optional<std::string> &)>;

    virtual ~StreamOrigins() = default;
    /// False while another gateway could not learn that the version is in use; no stream may begin
    /// at it then.
    virtual auto mayBegin(const std::string &service, const std::string &version) const -> bool = 0;
    /// A stream's first event is about to be sent to the caller, or the stream goes on under the
    /// attempt that began it.
    virtual auto noteBegun(const std::string &attempt, const std::string &service,
                           const std::string &version) -> void = 0;
    /// Finds the version that began the attempt's stream. Calls `done` once, never before it
    /// returns, and after `patience` at the latest.
    virtual auto find(const std::string &attempt, const std::string &service,
                      Utils::Duration patience, Callback done) -> Ticket = 0;
    /// `done` is not called any more. Does nothing if it was called.
    virtual auto cancel(Ticket ticket) -> void = 0;
};

} // namespace Gateway
