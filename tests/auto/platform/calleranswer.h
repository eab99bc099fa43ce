#pragma once

#include <http1/clientconnection.h>
#include <http1/head.h>

#include <memory>
#include <optional>
#include <string>

/// The answer that a caller received.
struct CallerAnswer
{
    int status = 0;
    Http1::Fields fields;
    std::string body;
    std::optional<Http1::CallEnd> end;
    std::unique_ptr<Http1::ClientConnection> connection;

    auto isWhole() const -> bool { return end == Http1::CallEnd::Complete; }
};
