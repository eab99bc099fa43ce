#pragma once

#include <utils/result.h>

#include <functional>
#include <map>
#include <string>

namespace Storage {

/// Status of an instance in the platform's list, which may be out of date.
enum class InstanceStatus { Live, Leaving, Gone };

using InstanceStatuses = std::map<std::string, InstanceStatus>;

/// The platform's list of instances.
class InstanceList
{
public:
    using Callback = std::function<void(const Utils::Result<InstanceStatuses, std::string> &)>;

    virtual ~InstanceList() = default;
    virtual auto read(Callback done) -> void = 0;
};

} // namespace Storage
