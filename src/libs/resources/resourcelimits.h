#pragma once

#include <cstddef>

namespace Resources {

/// What one process may use for its clients.
struct ResourceLimits
{
    size_t memoryBytes = 0; ///< Bodies, answers and connections together.
    size_t receivingBytes = 0; ///< Requests that are not complete yet.
    size_t answerBytes = 0; ///< Answers that wait for their readers.
    size_t connections = 0; ///< Connections of clients, at all addresses.

    /// Derives the limits from the machine's memory and descriptors.
    static auto create(int memoryMb, int maxFds) -> ResourceLimits;
};

} // namespace Resources
