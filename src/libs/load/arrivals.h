#pragma once

#include <load/shape.h>

#include <chrono>
#include <string>
#include <vector>

namespace Load {

/// One request of a load.
struct Arrival
{
    std::chrono::microseconds at{0}; ///< Since the load's start.
    size_t customer = 0; ///< Index in `LoadShape::customers`.
    std::string model;
    size_t entry = 0; ///< Index in `LoadShape::entries`.
};

/// All requests of a shape, ordered by time; the same shape and seed yield the same list.
auto makeArrivals(const LoadShape &shape) -> std::vector<Arrival>;

} // namespace Load
