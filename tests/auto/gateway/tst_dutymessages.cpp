#include <gateway/dutymessages.h>

#include <gtest/gtest.h>

using namespace Gateway;
using namespace std::chrono_literals;

// Guards against gateways of the previous version, which send no forecast, during an update.
TEST(DutyMessages, ForecastOfTheHolderIsOptional)
{
    HolderMessage message;
    message.name = "g-1";
    message.forecast = {{"s", "m", 1500ms}};
    const auto received = HolderMessage::fromJson(message.toJson());
    ASSERT_TRUE(received.forecast);
    ASSERT_EQ(received.forecast->size(), 1U);
    EXPECT_EQ(received.forecast->front().model, "m");
    EXPECT_EQ(received.forecast->front().remaining, 1500ms);

    auto previous = message.toJson();
    previous.erase("forecast");
    EXPECT_FALSE(HolderMessage::fromJson(previous).forecast);
    EXPECT_EQ(HolderMessage::fromJson(previous).name, "g-1");
    message.forecast.reset();
    EXPECT_EQ(message.toJson().count("forecast"), 0U);
}

// Guards against a message that is too large for a datagram with 380 gateways and all models.
TEST(DutyMessages, HolderMessageFitsIntoADatagram)
{
    constexpr size_t largest = 60 << 10;
    HolderMessage message;
    message.forecast.emplace();
    for (int i = 0; i < 200; ++i)
        message.forecast->push_back({"service", std::string(200, 'm'), 1500ms});
    for (std::uint32_t i = 0; i < 380; ++i)
        message.members.push_back(Http1::SocketAddress::create(0x0a000000 + i, 7000));
    EXPECT_LT(message.toJson().dump().size(), largest / 2);
}
