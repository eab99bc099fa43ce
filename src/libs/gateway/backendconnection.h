#pragma once

#include <http1/clientconnection.h>
#include <utils/timepoint.h>

#include <memory>
#include <string>
#include <vector>

namespace Gateway {

/// A connection to a backend server, and the attempts that the server has refused on it. It must
/// not carry these again: if the server wrote the refusal once more, that would be taken for the
/// answer to the repetition.
struct BackendConnection
{
    std::unique_ptr<Http1::ClientConnection> http;
    std::vector<std::string> refusedAttempts;
    Utils::TimePoint openedAt;
};

} // namespace Gateway
