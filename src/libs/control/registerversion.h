#pragma once

#include <control/change.h>

#include <set>
#include <string>

namespace Control {

/// The names that were registered from one revision on.
struct RegisterVersion
{
    Revision since = 0;
    std::set<std::string> names;
};

} // namespace Control
