<#import "layout.ftlh" as l>
<@l.page hasError=true>
  <p>${message}</p>
  <p><a href="/console/">To the overview</a></p>
</@l.page>
