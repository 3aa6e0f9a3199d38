// Plays one seed of the soak by hand: soak SEED FOLDER. Prints one line and exits with 1 if a check
// failed. FOLDER keeps the plan, the violations and the output of every process.

#include "Soak/soakrun.h"

#include <cstdlib>
#include <iostream>

using namespace Oleander::Testing;

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: soak SEED FOLDER\n";
        return 2;
    }
    const auto seed = std::strtoull(argv[1], nullptr, 10);
    const auto plan = makeSoakPlan(seed);
    std::cerr << plan.text();
    const auto result = SoakRun(plan, argv[2]).run();
    std::cout << result.text(seed) << '\n';
    for (const auto &violation : result.violations)
        std::cerr << violation << '\n';
    return result.violations.empty() ? 0 : 1;
}
