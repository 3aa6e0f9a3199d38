// The network between the operator and one control host is cut while an order is on its way there:
// the withdrawal of an evacuation. The operator withdraws it at another host, and later requests it
// again. Then the network is whole, and the old order arrives.
#include "deployment.h"

#include <utility>

using namespace Review;

int main()
{
    constexpr std::int64_t EvacuateMs = 5'000;
    constexpr std::int64_t CutMs = 5'500;
    constexpr int OperatorLimitMs = 1'000;
    const std::string path = "/oleanderusher/evacuations/a";
    Deployment system(3, 8000, 1500, true);
    Link network(system.freeAddress(), system.operatorAddresses[0]);
    system.start();
    Connection first(network.address);
    // The operator reaches control-0 over the network that is cut, and control-1 over another one.
    const auto order = [&](const std::string &method, bool isFirst) {
        const Reply reply = isFirst ? first.call(method, path, network.address, "", OperatorLimitMs)
                                    : httpCall(system.operatorAddresses[1], method, path,
                                               system.operatorAddresses[1], "", OperatorLimitMs);
        record(method + ' ' + path + " at control-" + (isFirst ? "0: " : "1: ")
               + std::to_string(reply.status));
        return reply.status == 200;
    };
    // After a second without a response the operator goes on to the next host.
    const auto send = [&](const std::string &method, bool isFirst) {
        if (!waitFor([&] { return order(method, std::exchange(isFirst, false)); }, 5'000))
            leave(2, "an order was not acknowledged");
    };
    send("POST", true);
    sleepMs(1'500);
    const std::int64_t cutAt = nowMs();
    if (hasTrouble()) {
        record("the network between the operator and control-0 is cut");
        network.isCut = true;
    }
    send("DELETE", true);
    sleepMs(1'000);
    send("POST", false);
    const std::int64_t evacuatedAt = nowMs();
    sleepMs(cutAt + CutMs - nowMs());
    if (hasTrouble())
        record("the network between the operator and control-0 is whole");
    network.isCut = false;
    sleepMs(evacuatedAt + EvacuateMs + 500 - nowMs());
    if (!system.submit("00000000000000f1", {{{"count", 2}, {"cpu", 1000}, {"memMb", 256}}}))
        leave(2, "the job was not accepted");
    sleepMs(3'000);
    for (const TaskRun &run : system.history()) {
        if (run.startMs > evacuatedAt + EvacuateMs)
            leave(1, "a task started in the evacuated zone "
                         + std::to_string(run.startMs - evacuatedAt)
                         + " ms after the acknowledgement of the evacuation");
    }
    leave(0, "no task started in the evacuated zone");
}
