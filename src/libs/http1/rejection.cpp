#include "rejection.h"

#include "messagereader.h"

namespace Http1 {

auto statusOf(ReadError error) -> int
{
    constexpr int badRequest = 400;
    constexpr int contentTooLarge = 413;
    constexpr int fieldsTooLarge = 431;
    switch (error) {
    case ReadError::HeadTooLarge:
        return fieldsTooLarge;
    case ReadError::BodyTooLarge:
        return contentTooLarge;
    case ReadError::None:
    case ReadError::Malformed:
    case ReadError::Truncated:
        break;
    }
    return badRequest;
}

auto isSizeError(ReadError error) -> bool
{
    return error == ReadError::HeadTooLarge || error == ReadError::BodyTooLarge;
}

} // namespace Http1
