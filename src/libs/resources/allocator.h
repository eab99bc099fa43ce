#pragma once

namespace Resources {

/// Makes the C library return large blocks to the system when they are freed. By default it keeps
/// more and more of them, so that the process's memory stays at the peak of fragmented use.
auto configureAllocator() -> void;

} // namespace Resources
