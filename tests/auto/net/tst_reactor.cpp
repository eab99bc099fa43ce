// The event loop goes on after a step that failed.

#include <net/reactor.h>

#include <gtest/gtest.h>

#include <stdexcept>

#include <unistd.h>

using namespace std::chrono_literals;

// Guards against: what one callback throws ends the process, and with it the requests of all other
// callers (review, case 1).
TEST(Reactor, ThrowingCallbacksDoNotEndTheLoop)
{
    auto loop = std::move(*Net::Reactor::create());
    int pipe[2] = {};
    ASSERT_EQ(::pipe(pipe), 0);
    ASSERT_EQ(::write(pipe[1], "x", 1), 1);
    int reads = 0;
    loop->watch(pipe[0], {true, false}, [&](Net::Interest) {
        ++reads;
        if (reads == 2)
            loop->unwatch(pipe[0]);
        throw std::runtime_error("a read failed");
    });
    bool isOver = false;
    loop->callAfter(1ms, [] { throw std::runtime_error("a timer failed"); });
    loop->callAfter(20ms, [&] {
        isOver = true;
        loop->stop();
    });
    loop->run();
    EXPECT_TRUE(isOver);
    EXPECT_EQ(reads, 2);
    ::close(pipe[0]);
    ::close(pipe[1]);
}
