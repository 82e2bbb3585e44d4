package io.banyantally.standins.experiment;

import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.internal.configuration.Configuration;
import io.banyantally.internal.configuration.ServiceKind;
import io.banyantally.internal.configuration.ServiceTemplate;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.ModelName;
import io.banyantally.model.Revision;
import io.banyantally.model.ServiceName;
import io.banyantally.model.VmId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** The configuration of a run: one service and eight accounts of equal weight with limits too high to take effect. */
final class ExperimentConfiguration {
    static final ModelName MODEL = new ModelName("model");

    private static final double UNLIMITED = 1e9;
    private static final int UNLIMITED_REQUESTS = 1_000_000;

    private ExperimentConfiguration() {}

    static List<ClientAccountParameters> accounts(Site site) {
        List<ClientAccountParameters> accounts = new ArrayList<>();
        for (int account = 0; account < site.accounts(); account++) {
            accounts.add(new ClientAccountParameters(
                    new ClientAccountId("account-" + account),
                    Set.of(MODEL),
                    Set.of(),
                    Set.of(),
                    0,
                    1,
                    UNLIMITED,
                    UNLIMITED,
                    UNLIMITED_REQUESTS));
        }
        return accounts;
    }

    static Configuration of(Site site, List<ClientAccountParameters> accounts) {
        ServiceTemplate template = new ServiceTemplate(
                site.service(), ServiceKind.MODEL, List.of(MODEL), List.of(), List.of(), 1, Site.ENGINES, UNLIMITED);
        Map<ServiceName, ServiceTemplate> services = Map.of(site.service(), template);
        Map<ClientAccountId, ClientAccountParameters> byId = new HashMap<>();
        accounts.forEach(account -> byId.put(account.account(), account));
        Set<VmId> roster = new TreeSet<>();
        for (int vm = 0; vm < Site.VMS; vm++) {
            roster.add(SimulatedVm.vmId(vm));
        }
        return new Configuration(Revision.NONE, services, byId, Map.of(), roster);
    }
}
