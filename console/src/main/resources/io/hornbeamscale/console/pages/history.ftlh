<#import "layout.ftlh" as l>
<@l.page>
  <p>The newest ${limit} versions at most. Times are UTC.</p>
  <#if rows?has_content>
  <div class="scroll" tabindex="0" role="region" aria-label="Versions">
  <table>
    <thead><tr><th scope="col">Version</th><th scope="col">When</th><th scope="col">Operator</th><th scope="col">From</th><th scope="col">Action</th><th scope="col">Entries changed</th><th scope="col">Why</th></tr></thead>
    <tbody>
      <#list rows as row>
      <tr><th scope="row"><a href="/console/history/${row.record.version}">${row.record.version}</a></th><td><time datetime="${row.time}">${row.time}</time></td><td>${row.record.operator}</td><td>${row.record.origin}</td><td>${row.record.action}</td><td>${row.count}</td><td>${row.record.why}</td></tr>
      </#list>
    </tbody>
  </table>
  </div>
  <#else>
  <p>Nothing was published yet.</p>
  </#if>
</@l.page>
