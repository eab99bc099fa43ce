#pragma once

#include <utils/result.h>

#include <functional>
#include <string>

namespace Storage {

enum class ObjectError { Unavailable, NotFound };

/// The platform's object store.
class ObjectStore
{
public:
    using ReadCallback = std::function<void(const Utils::Result<std::string, ObjectError> &)>;
    using WriteCallback = std::function<void(const Utils::Result<void, ObjectError> &)>;

    virtual ~ObjectStore() = default;
    virtual auto read(const std::string &name, ReadCallback done) -> void = 0;
    virtual auto write(const std::string &name, const std::string &content, WriteCallback done)
        -> void = 0;
};

} // namespace Storage
