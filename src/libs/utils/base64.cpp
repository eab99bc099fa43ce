#include "base64.h"

#include <openssl/evp.h>

namespace Utils {

namespace {

constexpr size_t TextGroup = 4;
constexpr size_t ByteGroup = 3;

} // namespace

auto base64Encode(std::string_view data) -> std::string
{
    std::string text((data.size() + ByteGroup - 1) / ByteGroup * TextGroup + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(data.data()),
                                       static_cast<int>(data.size()));
    text.resize(static_cast<size_t>(length));
    return text;
}

auto base64Decode(std::string_view text) -> std::optional<std::string>
{
    if (text.empty())
        return std::string();
    if (text.size() % TextGroup != 0)
        return {};
    std::string data(text.size() / TextGroup * ByteGroup, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(data.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0)
        return {};
    // EVP_DecodeBlock counts padding as bytes.
    const size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
    data.resize(static_cast<size_t>(length) - padding);
    return data;
}

} // namespace Utils
