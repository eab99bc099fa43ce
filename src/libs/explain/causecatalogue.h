#pragma once

#include <string_view>
#include <vector>

namespace Explain {

/// Name and meaning of a cause.
struct CauseDescription
{
    std::string_view name;
    std::string_view meaning;
};

/// All causes.
auto causeCatalogue() -> const std::vector<CauseDescription> &;
auto meaningOf(std::string_view cause) -> std::string_view;

} // namespace Explain
