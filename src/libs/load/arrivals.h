#pragma once

#include <load/shape.h>

#include <chrono>
#include <string>
#include <vector>

namespace Load {

/// One request that a load sends.
struct Arrival
{
    std::chrono::microseconds at{0}; ///< Since the load's start.
    size_t customer = 0; ///< Index in the shape.
    std::string model;
    size_t entry = 0; ///< Index in the shape.
};

/// All requests of a shape in order of time; the same shape and seed give the same list.
auto makeArrivals(const LoadShape &shape) -> std::vector<Arrival>;

} // namespace Load
